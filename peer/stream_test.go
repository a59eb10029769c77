package peer

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

func framed(body string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(body))), body...)
}

// connection returns both ends of an in-memory connection.
func connection(t *testing.T) (near, far net.Conn) {
	t.Helper()
	network := memnet.New()
	l, err := network.Listen("10.0.0.1:7000")
	qt.Assert(t, err, qt.IsNil)
	near, err = network.Dialer("10.0.0.2")(t.Context(), "tcp", "10.0.0.1:7000")
	qt.Assert(t, err, qt.IsNil)
	far, err = l.Accept()
	qt.Assert(t, err, qt.IsNil)
	return near, far
}

func quietEntry() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func TestStreamBoundsWhatItReads(t *testing.T) {
	padding := strings.Repeat("x", maxMessageBytes)
	cases := []struct {
		name string
		// messages are written in this order, repeat times.
		messages [][]byte
		repeat   int
		want     error
	}{
		{"good", [][]byte{framed(`{}`)}, 1, io.EOF},
		{"just too large", [][]byte{framed(`"` + padding + `"`)}, 1, errOversized},
		{"absurd length", [][]byte{binary.AppendUvarint(nil, 1<<60)}, 1, errOversized},
		{"no JSON", [][]byte{framed(`{"a":`)}, 1, errMalformed},
		{"many small messages", [][]byte{framed(`{}`)}, 2 * floodBurstBytes / messageCostBytes, errFlood},
		{"large messages", [][]byte{framed(`"` + padding[:maxMessageBytes-2] + `"`)}, 20, errFlood},
		{"half a message", [][]byte{binary.AppendUvarint(nil, 9), []byte("{")}, 1, io.ErrUnexpectedEOF},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := connection(t)
				go func() {
					defer far.Close()
					for range tc.repeat {
						for _, m := range tc.messages {
							if _, err := far.Write(m); err != nil {
								return
							}
						}
					}
				}()
				s := newStream(near, idleTimeout, &traffic{})
				var err error
				for err == nil {
					var v any
					err = s.ReadObject(&v)
				}
				_ = s.Close()
				qt.Check(t, errors.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, s.failure(), qt.Equals, err)
			})
		})
	}
}

func TestStreamTimesOutOnAnUnresponsivePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		near, far := net.Pipe()
		defer far.Close()
		s := newStream(near, idleTimeout, &traffic{})
		start := time.Now()
		var v any
		c.Assert(errors.Is(s.ReadObject(&v), os.ErrDeadlineExceeded), qt.IsTrue)
		c.Assert(time.Since(start), qt.Equals, idleTimeout)
		start = time.Now()
		c.Assert(errors.Is(s.WriteObject("x"), os.ErrDeadlineExceeded), qt.IsTrue)
		c.Assert(time.Since(start), qt.Equals, writeTimeout)
		c.Assert(s.WriteObject(strings.Repeat("x", maxMessageBytes)), qt.Equals, errOversized)
	})
}

func TestDemandKeepsItsDigits(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		demand Demand
		text   string
		back   Demand
	}{
		{Demand{}, "[0,0]", Demand{}},
		{Demand{TokensPerSecond: 0.123456, SpendPerHour: 7.25}, "[0.123,7.25]", Demand{TokensPerSecond: 0.123, SpendPerHour: 7.25}},
		{Demand{TokensPerSecond: 930123.4, SpendPerHour: 99.96}, "[930123,100]", Demand{TokensPerSecond: 930123, SpendPerHour: 100}},
	}
	for _, tc := range cases {
		text, err := json.Marshal(tc.demand)
		c.Assert(err, qt.IsNil)
		c.Assert(string(text), qt.Equals, tc.text)
		var back Demand
		c.Assert(json.Unmarshal(text, &back), qt.IsNil)
		c.Assert(back, qt.Equals, tc.back)
	}
}

func TestStatesOrderAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStates()
		first := state{Origin: "a", Stamp: stamp{Epoch: 2, Number: 5}, AgeSeconds: 4}
		_, ok := s.put(first)
		c.Assert(ok, qt.IsFalse, qt.Commentf("a state without a member record of its epoch"))
		member := fleet(1, 0)[0]
		first.Member = &member
		_, ok = s.put(first)
		c.Assert(ok, qt.IsTrue)
		for _, old := range []stamp{{2, 5}, {2, 4}, {1, 99}} {
			_, ok = s.put(state{Origin: "a", Stamp: old, Member: &member})
			c.Assert(ok, qt.IsFalse, qt.Commentf("%v", old))
		}
		time.Sleep(10 * time.Second)
		fresh, last := s.since(0)
		c.Assert(fresh, qt.HasLen, 1)
		c.Assert(fresh[0].aged(time.Now()).AgeSeconds, qt.Equals, 14)
		_, ok = s.put(state{Origin: "a", Stamp: stamp{Epoch: 2, Number: 6}})
		c.Assert(ok, qt.IsTrue)
		fresh, last = s.since(last)
		c.Assert(fresh, qt.HasLen, 1)
		fresh, _ = s.since(last)
		c.Assert(fresh, qt.HasLen, 0)
		// The state of a failed member is retained for some time, so that a
		// delayed copy of it is not taken for a new state.
		noneAlive := func(string) bool { return false }
		s.prune(noneAlive, time.Minute)
		_, stored := s.stamp("a")
		c.Assert(stored, qt.IsTrue)
		time.Sleep(2 * time.Minute)
		s.prune(noneAlive, time.Minute)
		_, stored = s.stamp("a")
		c.Assert(stored, qt.IsFalse)
	})
}

func TestRelayStartsWithSkippedStates(t *testing.T) {
	c := qt.New(t)
	members := fleet(4, 0)
	registry := member.New(standin.NewTable(1), member.Options{ID: members[0].ID, Log: quietEntry()})
	m := New(Options{Registry: registry, Notices: drain.NewSet(quietEntry())})
	for i := range members[1:] {
		registry.Merge(members[i+1], 0)
		m.states.put(state{Origin: members[i+1].ID, Stamp: stamp{1, 1}, Member: &members[i+1]})
	}
	l := &link{mesh: m, peer: members[1], peerStamps: map[string]stamp{members[2].ID: {1, 1}}}
	c.Assert(l.newStatesLocked(false), qt.HasLen, 0)
	sent := l.newStatesLocked(true)
	c.Assert(sent, qt.HasLen, 1)
	c.Assert(sent[0].Origin, qt.Equals, members[3].ID)
	c.Assert(sent[0].Member, qt.IsNotNil)
	c.Assert(l.newStatesLocked(true), qt.HasLen, 0)
}
