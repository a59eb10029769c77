package app

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/callerapi"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// finishTimeout bounds the wait for net/http to write the ends of answers
	// whose handlers have finished, which takes microseconds.
	finishTimeout = 250 * time.Millisecond
)

var serverModule = fx.Module("servers", fx.Invoke(serveCallers))

// serveCallers runs the listener for clients.
func serveCallers(lc fx.Lifecycle, n Network, s settings.Entry, api *callerapi.Server, log *logrus.Logger) {
	serveHTTP(lc, n, s.Listen.Caller, api, logrus.NewEntry(log))
}

// serveHTTP runs an HTTP server from the start to the stop of the entry.
func serveHTTP(lc fx.Lifecycle, n Network, address string, handler http.Handler, log *logrus.Entry) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := n.Listen(address)
			if err != nil {
				return fmt.Errorf("listen on %s: %w", address, err)
			}
			log.WithField("address", address).Info("app: listening.")
			go func() {
				defer close(done)
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					log.WithError(err).Error("app: listener failed.")
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, finishTimeout)
			defer cancel()
			// Answers that have not ended within finishTimeout are cut off.
			_ = server.Shutdown(ctx)
			err := server.Close()
			<-done
			return err
		},
	})
}
