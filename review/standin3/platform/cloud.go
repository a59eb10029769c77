package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// cloud is the platform's API for the duties. It refuses calls with a lower fencing
// token than one seen for the same duty and subject.
type cloud struct {
	record *record
	mu     sync.Mutex
	seen   map[string]uint64
}

func newCloud(r *record) *cloud {
	return &cloud{record: r, seen: map[string]uint64{}}
}

func (c *cloud) serve(l net.Listener) { _ = (&http.Server{Handler: c}).Serve(l) }

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	subject := r.URL.Path
	if r.URL.Path == "/scale" {
		var order struct{ Service, Zone string }
		_ = json.Unmarshal(body, &order)
		subject += "/" + order.Service + "/" + order.Zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	status := http.StatusOK
	if fence < c.seen[subject] {
		status = http.StatusConflict
	} else {
		c.seen[subject] = fence
	}
	c.record.add("cloud: %s from %s with fence %d: %d: %s", r.URL.Path, r.Header.Get("X-Duty-Holder"), fence, status, body)
	w.WriteHeader(status)
}
