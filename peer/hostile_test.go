package peer_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	hostileHost = "10.66.0.1"
	hostileID   = "entry-999"
)

// hostile is a peer that violates the protocol. It writes raw messages.
type hostile struct {
	cl   *cluster
	conn net.Conn
	r    *bufio.Reader
}

// register writes a heartbeat row, so that the nodes accept the hostile peer as
// a member.
func (cl *cluster) register(id, host string) {
	value := fmt.Sprintf(`{"id":%q,"incarnation":"x","addr":"%s:7000","failure_domain":"domain-0","state":"live"}`, id, host)
	_, err := cl.table.Commit(context.Background(), infra.Write{
		Key: "member/" + id, Value: []byte(value), Expect: infra.ExpectAny,
	})
	cl.c.Assert(err, qt.IsNil)
}

func (cl *cluster) dialHostile(target *node) *hostile {
	conn, err := cl.network.Dialer(hostileHost)(context.Background(), "tcp", target.host+":7000")
	cl.c.Assert(err, qt.IsNil)
	return &hostile{cl: cl, conn: conn, r: bufio.NewReader(conn)}
}

func (h *hostile) send(body string) error {
	frame := binary.AppendUvarint(nil, uint64(len(body)))
	_, err := h.conn.Write(append(frame, body...))
	return err
}

func (h *hostile) hello(deployment, id, incarnation, host, to string) {
	_ = h.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"deployment":%q,"to":%q,`+
		`"member":{"id":%q,"incarnation":%q,"epoch":9999,"addr":"%s:7000","failure_domain":"domain-0","state":"live"}}}`,
		deployment, to, id, incarnation, host))
}

// readMessage reads one message from the target.
func (h *hostile) readMessage() (string, error) {
	n, err := binary.ReadUvarint(h.r)
	if err != nil {
		return "", err
	}
	body := make([]byte, n)
	_, err = io.ReadFull(h.r, body)
	return string(body), err
}

// drain discards everything received until the connection ends.
func (h *hostile) drain() {
	_, _ = io.Copy(io.Discard, h.r)
}

func TestHostilePeerDoesNoHarm(t *testing.T) {
	const fakeNotice = `{"jsonrpc":"2.0","method":"notices","params":{"n":[{"h":"host-fake","i":"1"}]}}`
	cases := []struct {
		name string
		// registered makes the hostile peer a registered member.
		registered bool
		// accepted is set if the target accepts the hello.
		accepted bool
		act      func(h *hostile, target *node)
	}{
		{"says nothing", false, false, func(h *hostile, _ *node) {}},
		{"garbage before hello", false, false, func(h *hostile, _ *node) {
			_, _ = h.conn.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 9)))
		}},
		{"notice before hello", false, false, func(h *hostile, _ *node) { _ = h.send(fakeNotice) }},
		{"oversized length", false, false, func(h *hostile, _ *node) {
			_, _ = h.conn.Write(binary.AppendUvarint(nil, 1<<40))
		}},
		{"other deployment", true, false, func(h *hostile, n *node) {
			h.hello("other", hostileID, "x", hostileHost, n.id)
			_ = h.send(fakeNotice)
		}},
		{"unregistered member", false, false, func(h *hostile, n *node) {
			h.hello(deployment, hostileID, "x", hostileHost, n.id)
			_ = h.send(fakeNotice)
		}},
		{"impostor with its own address", true, false, func(h *hostile, n *node) {
			h.hello(deployment, "entry-002", "entry-002/1", hostileHost, n.id)
			_ = h.send(fakeNotice)
		}},
		{"impostor with the member's address", true, false, func(h *hostile, n *node) {
			h.hello(deployment, "entry-002", "entry-002/1", "10.0.0.3", n.id)
			_ = h.send(fakeNotice)
		}},
		{"impostor with a new incarnation", true, false, func(h *hostile, n *node) {
			h.hello(deployment, "entry-002", "entry-002/2", hostileHost, n.id)
			_ = h.send(fakeNotice)
		}},
		{"claims to be its target", true, false, func(h *hostile, n *node) {
			h.hello(deployment, n.id, "x", hostileHost, n.id)
			_ = h.send(fakeNotice)
		}},
		{"stops reading and writing after hello", true, true, func(h *hostile, n *node) {
			h.hello(deployment, hostileID, "x", hostileHost, n.id)
		}},
		{"garbage after hello", true, true, func(h *hostile, n *node) {
			h.hello(deployment, hostileID, "x", hostileHost, n.id)
			_ = h.send(`{"jsonrpc":"2.0","method":"digest","params":[[[`)
		}},
		{"unknown method after hello", true, true, func(h *hostile, n *node) {
			h.hello(deployment, hostileID, "x", hostileHost, n.id)
			_ = h.send(`{"jsonrpc":"2.0","method":"nonsense","params":{}}`)
		}},
		{"truncated message", true, true, func(h *hostile, n *node) {
			h.hello(deployment, hostileID, "x", hostileHost, n.id)
			_, _ = h.conn.Write(append(binary.AppendUvarint(nil, 500), '{'))
		}},
		{"flood", true, true, func(h *hostile, n *node) {
			h.hello(deployment, hostileID, "x", hostileHost, n.id)
			go h.drain()
			for h.send(`{"jsonrpc":"2.0","method":"digest","params":{}}`) == nil {
				time.Sleep(10 * time.Microsecond)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 5, func(cl *cluster) {
				target := cl.nodes[1]
				if tc.registered {
					cl.register(hostileID, hostileHost)
				}
				h := cl.dialHostile(target)
				tc.act(h, target)
				if tc.accepted && tc.name != "flood" {
					reply, err := h.readMessage()
					cl.c.Assert(err, qt.IsNil)
					var v struct{ Result json.RawMessage }
					cl.c.Assert(json.Unmarshal([]byte(reply), &v), qt.IsNil)
					cl.c.Assert(v.Result, qt.Not(qt.HasLen), 0)
				}
				// The target closes the connection although the hostile peer
				// keeps its side open.
				dropped := make(chan struct{})
				go func() {
					defer close(dropped)
					h.drain()
				}()
				select {
				case <-dropped:
				case <-time.After(12 * time.Second):
					cl.c.Fatalf("connection was not dropped")
				}
				_ = h.conn.Close()
				cl.nodes[0].mesh.BroadcastNotice(notice("host-1"))
				cl.within(noticeWithin, "notice", func() bool { return cl.allHaveNotice("host-1", "1") })
				for _, n := range cl.nodes {
					cl.c.Assert(n.notices.Leaving("host-fake", "1"), qt.IsFalse)
					for _, o := range cl.nodes {
						cl.c.Assert(n.registry.Alive(o.id, o.registry.Self().Incarnation), qt.IsTrue)
					}
				}
			})
		})
	}
}

// TestStalledReaderIsDropped checks that a member that stops reading while
// notices are sent to it is disconnected and doesn't delay the others.
func TestStalledReaderIsDropped(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		cl.register(hostileID, hostileHost)
		h := cl.dialHostile(cl.nodes[0])
		h.hello(deployment, hostileID, "x", hostileHost, cl.nodes[0].id)
		_, err := h.readMessage()
		cl.c.Assert(err, qt.IsNil)
		// The hostile peer sends state updates to avoid the idle timeout, but
		// never reads again.
		dropped := make(chan struct{})
		go func() {
			defer close(dropped)
			for h.send(`{"jsonrpc":"2.0","method":"digest","params":{}}`) == nil {
				time.Sleep(time.Second)
			}
		}()
		for i := range 5000 {
			cl.nodes[0].mesh.BroadcastNotice(notice(fmt.Sprintf("host-%d", i)))
		}
		select {
		case <-dropped:
		case <-time.After(10 * time.Second):
			cl.c.Fatalf("stalled reader was not dropped")
		}
		cl.within(noticeWithin, "last notice", func() bool { return cl.allHaveNotice("host-4999", "1") })
	})
}

// TestUnresponsiveListenerDoesNoHarm checks that a member that accepts
// connections and sends nothing doesn't delay notices, and that it is dialled
// with backoff.
func TestUnresponsiveListenerDoesNoHarm(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		l, err := cl.network.Listen(hostileHost + ":7000")
		cl.c.Assert(err, qt.IsNil)
		accepted := make(chan net.Conn, 1000)
		go func() {
			defer close(accepted)
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
		cl.register(hostileID, hostileHost)
		time.Sleep(10 * time.Second)
		cl.nodes[0].mesh.BroadcastNotice(notice("host-1"))
		cl.within(noticeWithin, "notice", func() bool { return cl.allHaveNotice("host-1", "1") })
		cl.c.Assert(len(accepted) > 0, qt.IsTrue)
		cl.c.Assert(len(accepted) < 40, qt.IsTrue, qt.Commentf("%d dials", len(accepted)))
		_ = l.Close()
		for conn := range accepted {
			_ = conn.Close()
		}
	})
}
