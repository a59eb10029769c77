package standin_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const sourceAddr = "10.0.0.1:80"

// withPair runs a test in virtual time with an engine that is served over HTTP
// and one that can import from it.
func withPair(t *testing.T, test func(c *qt.C, source, target *standin.Engine)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		cfg := config()
		cfg.Addr, cfg.Dial = sourceAddr, network.Dialer("10.0.0.2")
		source, target := standin.NewEngine(cfg), standin.NewEngine(cfg)
		defer source.Close()
		defer target.Close()
		l, err := network.Listen(cfg.Addr)
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: source.Handler()}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		test(c, source, target)
	})
}

// export exports a stream with a prompt of 100 tokens after its first token.
func export(c *qt.C, e *standin.Engine, name string) endpoint.KV {
	c.Helper()
	s := generate(c, e, request(name, 99))
	firstToken(c, s, time.Now())
	kv, err := e.Export(c.TB.Context(), s.ID())
	c.Assert(err, qt.IsNil)
	return kv
}

// TestExportsShareTheLink imports two KV caches of one engine at the same time.
// Each has 101 tokens of 1000 bytes, and the link 100,000 bytes per second, so
// that the second transfer ends after twice the time of one.
func TestExportsShareTheLink(t *testing.T) {
	withPair(t, func(c *qt.C, source, target *standin.Engine) {
		exports := []endpoint.KV{export(c, source, "a"), export(c, source, "b")}
		start := time.Now()
		took := make([]time.Duration, len(exports))
		var wg sync.WaitGroup
		for i, kv := range exports {
			c.Assert(kv.Bytes, qt.Equals, int64(101000))
			wg.Go(func() {
				time.Sleep(time.Duration(i)) // the order of the transfers
				_, err := target.Import(c.TB.Context(), kv)
				c.Check(err, qt.IsNil)
				took[i] = time.Since(start)
			})
		}
		wg.Wait()
		c.Assert(took, qt.DeepEquals, []time.Duration{1010 * time.Millisecond, 2020 * time.Millisecond})
		_, err := target.Import(c.TB.Context(), endpoint.KV{Source: sourceAddr, Handle: "none"})
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
	})
}

// TestImportFailsWhenSourceStops stops an engine while its KV cache is being
// fetched.
func TestImportFailsWhenSourceStops(t *testing.T) {
	withPair(t, func(c *qt.C, source, target *standin.Engine) {
		kv := export(c, source, "a")
		time.AfterFunc(100*time.Millisecond, source.Close)
		_, err := target.Import(c.TB.Context(), kv)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	})
}
