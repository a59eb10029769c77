package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Replica is a replica of a service. It checks X-Expect-Instance and runs everything
// else.
type Replica struct {
	ID, Service, Addr, Zone string
	Born                    int64
	Work                    time.Duration

	rec    *Record
	server *http.Server
}

// StartReplica starts a replica that listens on a free port.
func StartReplica(rec *Record, id, service, ip string, work time.Duration) (*Replica, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, Service: service, Addr: l.Addr().String(), Zone: "zone-a", Born: time.Now().UnixMilli(), Work: work, rec: rec}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// Close ends the replica.
func (r *Replica) Close() { _ = r.server.Close() }

// Row returns the replica's entry in the registry.
func (r *Replica) Row(state string) map[string]any {
	return map[string]any{
		"service": r.Service, "address": r.Addr, "zone": r.Zone, "version": "v1", "slots": 64,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": r.Born,
	}
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, req.Body)
	h := w.Header()
	if id != "" {
		h.Set("X-Attempt-Id", id)
	}
	if req.Header.Get("X-Expect-Instance") != r.ID {
		h.Set("X-Not-Executed", "1")
		h.Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.rec.Add(Event{Kind: "run", Request: id, At: r.ID, Tenant: req.Header.Get("X-Tenant"), Key: req.Header.Get("Authorization")})
	time.Sleep(r.Work)
	h.Set("X-Response-Seal", fmt.Sprintf("%s.%s", r.ID, id))
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.ID, id)
}
