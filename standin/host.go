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
	host    infra.Host
	engine  *enginestandin.Engine
	service map[string]*enginestandin.Service
	servers []*server
	since   time.Time
	until   time.Time
	taken   *time.Timer
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

// close ends the server and its connections. The listener is closed here as
// well, for Serve may not have taken it over yet.
func (s *server) close() {
	_ = s.http.Close()
	_ = s.listener.Close()
}

// serve serves a handler on a listener until the machine stops.
func (m *machine) serve(l net.Listener, h http.Handler) {
	m.servers = append(m.servers, serve(l, h))
}

// stop resets all connections and ends the machine.
func (m *machine) stop() {
	if m.taken != nil {
		m.taken.Stop()
	}
	if m.engine != nil {
		m.engine.Close()
	}
	for _, server := range m.servers {
		server.close()
	}
	m.until = time.Now()
}

// cost returns the price of the machine's time so far.
func (m *machine) cost(now time.Time) float64 {
	end := m.until
	if end.IsZero() {
		end = now
	}
	return end.Sub(m.since).Hours() * m.host.PricePerHour
}
