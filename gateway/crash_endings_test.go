package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// ending is how the process of a replica ends, as other hosts see it.
type ending struct {
	name string
	// portOutlives is how long the port accepts connections after the process's
	// connections were reset. The connections that it accepts are reset at the end
	// of that time.
	portOutlives time.Duration
	// supervised is set if another process holds the port until the next one runs.
	supervised bool
	// proxied is set if something in between accepts connections, and resets them
	// at once while the process is down.
	proxied bool
	// hostLost is set if nothing on the host answers any more.
	hostLost bool
	// downtime is the time until the next process runs, and registeredAfter the time
	// from then until the registry lists it.
	downtime, registeredAfter time.Duration
}

var endings = []ending{
	{name: "all sockets at once", downtime: crashDowntime},
	{name: "port 2 ms after the connections", portOutlives: 2 * time.Millisecond, downtime: crashDowntime},
	{name: "port 50 ms after the connections", portOutlives: 50 * time.Millisecond, downtime: crashDowntime},
	{name: "port a second after the connections", portOutlives: time.Second, downtime: crashDowntime},
	{name: "port held by a supervisor", supervised: true, downtime: 700 * time.Millisecond, registeredAfter: 200 * time.Millisecond},
	{name: "next process at once", supervised: true, registeredAfter: 500 * time.Millisecond},
	{name: "port of a proxy", supervised: true, proxied: true, downtime: crashDowntime, registeredAfter: 5 * time.Second},
	{name: "host lost", hostLost: true, downtime: crashDowntime},
}

// lateEnding closes the port after the look that follows at once.
var lateEnding = ending{name: "port 30 ms after the connections", portOutlives: 30 * time.Millisecond, downtime: crashDowntime}

// streamHeader is the header of a stream with a verb for the ID, and firstEvents are
// its first events.
const (
	streamHeader = "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvents  = "f\r\nid: 1\ndata: x\n\n\r\nf\r\nid: 2\ndata: x\n\n\r\n"
)

// beginnings are what a replica has written of its answer when it crashes.
var beginnings = map[string]string{
	"nothing":                  "",
	"informational answer":     "HTTP/1.1 103 Early Hints\r\nId: %s\r\n\r\n",
	"half a status line":       "HTTP/1.1 2",
	"half a header":            "HTTP/1.1 200 OK\r\nId: %s\r\nTransf",
	"header":                   streamHeader,
	"header and half an event": streamHeader + "5\r\nid: 1\r\n",
	"one event":                streamHeader + firstEvents[:len(firstEvents)/2],
	"two events":               streamHeader + firstEvents,
}

// endingReplicas are replicas that crash, with a given ending, as they begin to
// write an answer on crashingPart. They are back under the same ID and address.
type endingReplicas struct {
	fleet     []*testEntry
	ending    ending
	beginning string
	network   interface {
		Listen(string) (net.Listener, error)
		Reset(host string)
		Kill(host string)
		SetCut(a, b string, on bool)
	}

	mu      sync.Mutex
	crashes int
	fifthAt time.Time
	// late is the number of requests that arrived later than limitKnown after the
	// fifth crash.
	received, late int
}

func (c *endingReplicas) start(t *testing.T, id, host string, incarnation int64) {
	l, err := c.network.Listen(host + ":80")
	if c.ending.supervised && incarnation > 1 {
		return // the listener of the first process goes on
	}
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	p := &endingProcess{replicas: c, t: t, id: id, host: host, incarnation: incarnation, up: true}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			switch {
			case p.running():
				go c.fleet[0].serveConn(nc, p.answer)
			case c.ending.proxied:
				_ = nc.Close()
			}
		}
	}()
	c.register(id, host, incarnation)
}

func (c *endingReplicas) register(id, host string, incarnation int64) {
	for _, e := range c.fleet {
		e.set.Put(replica.Registration{ID: id, Service: "s", Addr: host + ":80", FailureDomain: "d", Slots: 4, Incarnation: incarnation})
	}
}

// endingProcess is the process behind one listener. If a supervisor holds the port,
// its incarnation changes with each process.
type endingProcess struct {
	replicas *endingReplicas
	t        *testing.T
	id, host string

	mu          sync.Mutex
	up          bool
	incarnation int64
}

func (p *endingProcess) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.up
}

func (p *endingProcess) answer(nc net.Conn, req *http.Request) bool {
	if !p.running() {
		return false
	}
	if !slices.Contains(strings.Fields(req.Header.Get("Parts")), crashingPart) {
		return answerEvents(3, true)(nc, req)
	}
	c := p.replicas
	c.mu.Lock()
	c.received++
	if !c.fifthAt.IsZero() && time.Since(c.fifthAt) > limitKnown {
		c.late++
	}
	c.mu.Unlock()
	_, _ = io.WriteString(nc, strings.Replace(c.beginning, "%s", req.Header.Get("Id"), 1))
	time.Sleep(20 * time.Millisecond)
	p.crash()
	return false
}

func (p *endingProcess) crash() {
	c := p.replicas
	p.mu.Lock()
	if !p.up {
		p.mu.Unlock()
		return
	}
	p.up = false
	p.incarnation++
	next := p.incarnation
	p.mu.Unlock()
	c.mu.Lock()
	if c.crashes++; c.crashes == maxCrashes {
		c.fifthAt = time.Now()
	}
	c.mu.Unlock()
	c.network.Reset(p.host)
	switch {
	case c.ending.supervised:
		time.AfterFunc(c.ending.downtime, func() {
			p.mu.Lock()
			p.up = true
			p.mu.Unlock()
			time.AfterFunc(c.ending.registeredAfter, func() { c.register(p.id, p.host, next) })
		})
		return
	case c.ending.hostLost:
		c.cut(p.host, true)
	case c.ending.portOutlives == 0:
		c.network.Kill(p.host)
	}
	time.AfterFunc(c.ending.portOutlives, func() { c.network.Kill(p.host) })
	time.AfterFunc(c.ending.downtime, func() {
		c.cut(p.host, false)
		c.start(p.t, p.id, p.host, next)
	})
}

func (c *endingReplicas) cut(host string, on bool) {
	for _, e := range c.fleet {
		c.network.SetCut(e.host, host, on)
	}
}

// Guards against crashes that no entry takes for evidence, because the sockets of a
// process don't all close in the same instant.
func TestCrashIsEvidenceHoweverTheProcessEnds(t *testing.T) {
	for _, end := range endings {
		for _, entries := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/entries=%d", end.name, entries), func(t *testing.T) {
				playCrashes(t, "/resume/x", entries, end, beginnings["header and half an event"])
			})
		}
	}
}

// Guards against crashes that are no evidence, because the replica had written too
// little of its answer, or an event of it.
func TestCrashIsEvidenceHoweverMuchOfTheAnswerHasArrived(t *testing.T) {
	for name, beginning := range beginnings {
		for _, end := range []ending{endings[0], endings[1], lateEnding} {
			for _, path := range []string{"/resume/x", "/stream/x"} {
				for _, entries := range []int{1, 3} {
					t.Run(fmt.Sprintf("%s/%s%s/entries=%d", name, end.name, path, entries), func(t *testing.T) {
						playCrashes(t, path, entries, end, beginning)
					})
				}
			}
		}
	}
}

// Guards against crashes before the first byte that no entry takes for evidence,
// because the sockets of a process don't all close in the same instant.
func TestCrashBeforeTheFirstByteIsEvidenceHoweverTheProcessEnds(t *testing.T) {
	for _, end := range endings {
		t.Run(end.name, func(t *testing.T) { playCrashes(t, "/resume/x", 3, end, "") })
	}
}

// playCrashes sends requests of which every second one crashes its replica, and
// checks how many of these reach replicas and how many of the others are answered.
func playCrashes(t *testing.T, path string, entries int, end ending, beginning string) {
	const requests, every = 80, 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, testConfiguration(), entries)
		c := &endingReplicas{fleet: fleet, ending: end, beginning: beginning, network: fleet[0].network}
		for i := range 24 {
			c.start(t, fmt.Sprintf("r%d", i), fmt.Sprintf("10.0.2.%d", i+1), 1)
		}
		sound, soundSent := 0, 0
		for i := range requests {
			e := fleet[i%entries]
			go func() {
				_, _, _ = e.get(t, path, "Parts", fmt.Sprintf("1 2 %s %d", crashingPart, 1000+i))
			}()
			resp, _, err := e.get(t, path, "Parts", fmt.Sprintf("1 2 %d", 2000+i))
			if i >= requests/2 {
				soundSent++
			}
			if i >= requests/2 && err == nil && resp.StatusCode == http.StatusOK {
				sound++
			}
			time.Sleep(every)
		}
		time.Sleep(10 * time.Second)
		t.Logf("%d crashes, %d requests received, %d late; %d of %d sound requests", c.crashes, c.received, c.late, sound, soundSent)
		qt.Check(t, c.late <= maxSendsAfter, qt.IsTrue, qt.Commentf("%d requests later than %v after the fifth crash", c.late, limitKnown))
		qt.Check(t, sound >= soundSent*95/100, qt.IsTrue, qt.Commentf("%d of %d sound requests were answered", sound, soundSent))
	})
}
