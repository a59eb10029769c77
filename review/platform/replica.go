package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// eventTokens is the number of tokens in an event, eventPause the time between
// two events, and firstEvent the time to the first one.
const (
	eventTokens = 4
	eventPause  = 100 * time.Millisecond
	firstEvent  = 40 * time.Millisecond
)

// replica is a model replica that answers soundly.
type replica struct {
	w                 *world
	id, service, zone string
	addr              string
	spot              bool
	born              int64
	server            *http.Server
}

// registration is the row of a replica.
type registration struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMS   int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
	Spot     bool   `json:"spot,omitempty"`
}

func (w *world) startReplica(service, zone string, spot bool) (*replica, error) {
	l, err := net.Listen("tcp", w.ip(2)+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		w: w, id: fmt.Sprintf("i-%08x", w.next()), service: service, zone: zone, spot: spot,
		addr: l.Addr().String(), born: time.Now().UnixMilli(),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = r.server.Close() })
	r.report("ready")
	return r, nil
}

func (r *replica) report(state string) {
	r.w.store.put("servers", r.id, registration{
		Service: r.service, Address: r.addr, Zone: r.zone, Version: "v1", Slots: slots,
		State: state, Sequence: 1, Born: r.born, Spot: r.spot,
	})
}

// leave drains the replica as the platform does when fewer are ordered.
func (r *replica) leave() {
	r.report("draining")
	time.AfterFunc(drainTime+time.Second, func() { r.w.store.drop("servers", r.id) })
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", r.id)
	switch {
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case req.Header.Get("X-Expect-Instance") != "" && req.Header.Get("X-Expect-Instance") != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.w.noteRun(id)
	r.w.note("run     %s at %s (%s, %s)", id, r.id, r.service, r.zone)
	seal := sha256.Sum256([]byte(id))
	w.Header().Set("X-Response-Seal", hex.EncodeToString(seal[:8]))
	w.Header().Set("Content-Type", "text/event-stream")
	_, tokens, _ := strings.Cut(req.Header.Get("X-Token-Usage"), ",")
	count, _ := strconv.Atoi(tokens)
	flush := http.NewResponseController(w).Flush
	pause := firstEvent
	for n := 1; n <= count/eventTokens; n++ {
		select {
		case <-time.After(pause):
		case <-req.Context().Done():
			r.w.note("dropped %s at %s", id, r.id)
			return
		}
		pause = eventPause
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		_ = flush()
	}
	r.w.note("ended   %s at %s", id, r.id)
}

func (w *world) noteRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[id] = true
}
