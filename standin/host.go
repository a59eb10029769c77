package standin

import (
	"net"
	"net/http"
	"time"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/platform"
)

// machine is a running host with its servers.
type machine struct {
	host    platform.Host
	engine  *enginestandin.Engine
	service map[string]*enginestandin.Service
	servers []*http.Server
	since   time.Time
	until   time.Time
	taken   *time.Timer
}

// serve serves a handler on a listener until the machine stops.
func (m *machine) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	m.servers = append(m.servers, server)
	go func() { _ = server.Serve(l) }()
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
		_ = server.Close()
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
