package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// A request counts as finished shortly before the server has written the end of
// its answer. Stopping the server then must not cut the answer off.
func TestStopWritesCompletedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		ended := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
			_ = http.NewResponseController(w).Flush()
			close(ended)
			time.Sleep(10 * time.Millisecond)
		})
		server := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
			serveHTTP(lc, Network{Listen: network.Listen}, "10.0.0.1:80", handler, nolog.Or(nil))
		}))
		qt.Assert(t, server.Start(t.Context()), qt.IsNil)
		dial := network.Dialer("10.0.0.2")
		transport := &http.Transport{DialContext: func(ctx context.Context, n, a string) (net.Conn, error) { return dial(ctx, n, a) }}
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get("http://10.0.0.1:80/")
		qt.Assert(t, err, qt.IsNil)
		<-ended
		qt.Assert(t, server.Stop(context.WithoutCancel(t.Context())), qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "whole")
	})
}
