package upstream_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// refuseAll refuses all requests and keeps their connections.
func refuseAll(nc net.Conn, id string, _ int) bool {
	_, err := fmt.Fprintf(nc, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nbad", id)
	return err == nil
}

// Guards against an ID being sent twice on one connection, on which an answer to it
// doesn't tell which request it belongs to.
func TestIDIsSentOnceOnAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		again := make(map[string]int)
		r, pool := newReplica(t, func(nc net.Conn, id string, n int) bool {
			again[fmt.Sprintf("%p %s", nc, id)]++
			return refuseAll(nc, id, n)
		})
		for i := range 40 {
			_, err := sendAndRead(pool, fmt.Sprint(i%4), "")
			qt.Assert(t, err, qt.IsNil)
		}
		for key, n := range again {
			qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", key))
		}
		qt.Check(t, r.connections.Load(), qt.Equals, int64(10))
	})
}

// Guards against refusals costing connections, which the replica has few of while it
// refuses much.
func TestRefusalsOfDifferentRequestsShareAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, pool := newReplica(t, refuseAll)
		for i := range 400 {
			_, err := sendAndRead(pool, fmt.Sprint(i), "")
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, r.connections.Load(), qt.Equals, int64(1))
	})
}

// Guards against the memory of a connection growing with the IDs that a client makes
// up.
func TestConnectionServesABoundedNumberOfIDs(t *testing.T) {
	const requests, maxIDs = 3000, 512
	synctest.Test(t, func(t *testing.T) {
		most := 0
		r, pool := newReplica(t, func(nc net.Conn, id string, n int) bool {
			most = max(most, n+1)
			_, err := io.WriteString(nc, answer(id, "ok"))
			return err == nil
		})
		for i := range requests {
			_, err := sendAndRead(pool, fmt.Sprint(i), "")
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, most <= maxIDs, qt.IsTrue, qt.Commentf("%d requests on one connection", most))
		qt.Check(t, r.connections.Load() <= requests/maxIDs+1, qt.IsTrue, qt.Commentf("%d connections", r.connections.Load()))
	})
}
