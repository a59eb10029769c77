package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// longConfiguration returns a configuration with as many routes as a large
// deployment has.
func longConfiguration() []byte {
	type route struct {
		Name, Host, Prefix, Kind, Service string
		Timeout, Attempts                 int
	}
	var routes []route
	for i := range 1450 {
		routes = append(routes, route{
			Name: fmt.Sprintf("route-%04x", i*7919%65536), Host: fmt.Sprintf("host-%d.example", i%40), Prefix: fmt.Sprintf("/prefix%05d/", i*104729%99991),
			Kind: "repeatable", Service: fmt.Sprintf("service-%d", i%9), Timeout: 2000 + i%3*500, Attempts: 2,
		})
	}
	text, err := json.Marshal(routes)
	if err != nil {
		panic(err)
	}
	return text
}

// Guards against a long configuration filling the links of the hosts that pass
// it on, so that other calls time out and entries get it too late.
func TestLongValuesAreCompressedBetweenPeers(t *testing.T) {
	long := longConfiguration()
	// A reader passes each version on to twelve entries, over a link of 10 Mbit/s.
	const maxBytes = 10_000_000 / 8 / 12
	inBubble(t, 3, func(cl *cluster) {
		c, ctx, from, to := cl.c, context.Background(), cl.nodes[1], cl.nodes[0]
		cl.within(4*time.Second, "answer", func() bool {
			_, err := to.mesh.Changes(ctx, from.id, "f", 7, time.Second)
			return err == nil
		})
		from.longValue = long
		before := from.mesh.Traffic().SentBytes
		u, err := to.mesh.Changes(ctx, from.id, "f", versionLong, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(u.Changes, qt.DeepEquals, []infra.Change{{Row: infra.Row{Key: "a", Value: long, Version: 9}}})
		sent := from.mesh.Traffic().SentBytes - before
		c.Check(sent <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes sent for a value of %d", sent, len(long)))

		before = from.mesh.Traffic().SentBytes
		body, found, err := to.mesh.FetchTemplate(ctx, from.id, "long", 1)
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsTrue)
		c.Assert(string(body), qt.Equals, string(long))
		sent = from.mesh.Traffic().SentBytes - before
		c.Check(sent <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes sent for a body of %d", sent, len(long)))
	})
}

// Guards against a short message that decompresses to more than a host's memory.
func TestCompressedValuesOfAHostilePeerAreBounded(t *testing.T) {
	bomb := make([]byte, 64<<20)
	inBubble(t, 3, func(cl *cluster) {
		from, to := cl.nodes[1], cl.nodes[0]
		from.longValue = bomb
		var err error
		cl.within(4*time.Second, "refusal", func() bool {
			_, err = to.mesh.Changes(context.Background(), from.id, "f", versionLong, time.Second)
			return err != nil && strings.Contains(err.Error(), "compressed value")
		})
	})
}
