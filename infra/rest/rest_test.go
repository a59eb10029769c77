package rest_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/rest"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	server = "10.0.0.1"
	client = "10.0.0.2"
)

// serve serves a handler in the test's synctest bubble until the test ends.
func serve(c *qt.C, network *memnet.Network, h http.Handler) {
	l, err := network.Listen(server + ":80")
	c.Assert(err, qt.IsNil)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	c.Cleanup(func() { _ = s.Close() })
}

func commit(ctx context.Context, table infra.Table) error {
	_, err := table.Commit(ctx, infra.Write{Key: "k", Value: []byte("v"), Expect: infra.ExpectAny})
	return err
}

func TestVerdictOfFailedCommit(t *testing.T) {
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	unresponsive := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"version":`))
		panic(http.ErrAbortHandler)
	}
	for _, test := range []struct {
		name         string
		handler      http.HandlerFunc
		breakNetwork func(n *memnet.Network)
		want         verdict.Verdict
		within       time.Duration
	}{
		{"refused dial", reset, func(n *memnet.Network) { n.Kill(server) }, verdict.NotRun, 0},
		{"dial without an answer", reset, func(n *memnet.Network) { n.SetCut(server, client, true) }, verdict.NotRun, time.Second},
		{"reset after the request", reset, nil, verdict.MayHaveRun, 0},
		{"no answer in time", unresponsive, nil, verdict.MayHaveRun, time.Second},
		{"half an answer", cut, nil, verdict.MayHaveRun, 0},
		{"an answer that is no JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, nil, verdict.MayHaveRun, 0},
		{"an error that is no JSON", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) }, nil, verdict.MayHaveRun, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := memnet.New()
				serve(c, network, test.handler)
				if test.breakNetwork != nil {
					test.breakNetwork(network)
				}
				p := rest.New("http://"+server+":80", network.Dialer(client), time.Second)
				defer p.Close()
				start := time.Now()
				err := commit(t.Context(), p.Table())
				c.Assert(err, qt.IsNotNil)
				c.Assert(verdict.Of(err), qt.Equals, test.want, qt.Commentf("%v", err))
				c.Assert(time.Since(start), qt.Equals, test.within)
			})
		})
	}
}

// TestCommitIsNotRepeated resets an idle connection that a commit reuses. In
// this case net/http would repeat the request on a new connection.
func TestCommitIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		platform := standin.NewPlatform(1)
		handler := platform.Handler()
		var commits atomic.Int64
		serve(c, network, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if commits.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		}))
		var dials atomic.Int64
		dial := network.Dialer(client)
		p := rest.New("http://"+server+":80", func(ctx context.Context, n, a string) (net.Conn, error) {
			dials.Add(1)
			return dial(ctx, n, a)
		}, time.Second)
		defer p.Close()
		c.Assert(commit(t.Context(), p.Table()), qt.IsNil)
		synctest.Wait()
		err := commit(t.Context(), p.Table())
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		time.Sleep(time.Minute)
		c.Assert(commits.Load(), qt.Equals, int64(2))
		c.Assert(dials.Load(), qt.Equals, int64(1))
	})
}
