package standin

import (
	"net"
	"net/http"
	"time"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// machine is a running host with its servers.
type machine struct {
	host         infra.Host
	engine       *enginestandin.Engine
	services     map[string]*enginestandin.Service
	servers      []*server
	startedAt    time.Time
	stoppedAt    time.Time
	reclaimTimer *time.Timer
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// serve serves a handler until the server is closed.
func serve(l net.Listener, h http.Handler) *server {
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}, listener: l}
	go func() { _ = s.http.Serve(l) }()
	return s
}

// close closes the server and its connections. It also closes the listener,
// because Serve may not have registered it with the server yet.
func (s *server) close() {
	_ = s.http.Close()
	_ = s.listener.Close()
}

// serve serves a handler on a listener until the machine stops.
func (m *machine) serve(l net.Listener, h http.Handler) {
	m.servers = append(m.servers, serve(l, h))
}

// stop resets all connections of the machine and stops its engine and servers.
func (m *machine) stop() {
	if m.reclaimTimer != nil {
		m.reclaimTimer.Stop()
	}
	if m.engine != nil {
		m.engine.Close()
	}
	for _, server := range m.servers {
		server.close()
	}
	m.stoppedAt = time.Now()
}

// cost returns the running time of the machine multiplied by its price.
func (m *machine) cost(now time.Time) float64 {
	end := m.stoppedAt
	if end.IsZero() {
		end = now
	}
	return end.Sub(m.startedAt).Hours() * m.host.PricePerHour
}
