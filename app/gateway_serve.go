package app

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

// readiness determines whether the load balancer may send new connections.
type readiness struct {
	config    *config.Holder
	followers *followers
	draining  atomic.Bool
}

func newReadiness(c *config.Holder, f *followers) *readiness {
	return &readiness{config: c, followers: f}
}

func (r *readiness) drain() { r.draining.Store(true) }

func (r *readiness) ready() bool {
	_, loaded := r.followers.registry.Age()
	return !r.draining.Load() && r.config.Current() != nil && loaded
}

// serveReady answers the readiness checks of the load balancer, whatever their
// path.
func serveReady(lc fx.Lifecycle, n Network, s gateway.Settings, r *readiness, log *logrus.Entry) {
	engine := gin.New()
	engine.NoRoute(func(c *gin.Context) {
		status := http.StatusOK
		if !r.ready() {
			status = http.StatusServiceUnavailable
		}
		c.Status(status)
		c.Writer.WriteHeaderNow()
	})
	serveHTTP(lc, n, s.Listen.Ready, engine, log)
}

// serveMetrics serves the metrics if an address is set.
func serveMetrics(lc fx.Lifecycle, n Network, s gateway.Settings, m *telemetry.Metrics, r *rollouts, log *logrus.Entry) {
	if s.Listen.Metrics == "" {
		return
	}
	engine := gin.New()
	engine.GET("/metrics", gin.WrapH(m.Handler()))
	engine.GET(rolloutsPath, func(c *gin.Context) { c.JSON(http.StatusOK, r.overviews()) })
	serveHTTP(lc, n, s.Listen.Metrics, engine, log)
}

func newClientServer(h *gateway.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: clientHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxClientHeaderBytes,
	}
}

// serveGateway runs the listener for clients.
func serveGateway(lc fx.Lifecycle, n Network, s gateway.Settings, server *http.Server, log *logrus.Entry) {
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := n.Listen(s.Listen.Clients)
			if err != nil {
				return fmt.Errorf("listen on %s: %w", s.Listen.Clients, err)
			}
			go func() {
				defer close(done)
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					log.WithError(err).Error("app: client listener failed.")
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			err := server.Close()
			<-done
			return err
		},
	})
}
