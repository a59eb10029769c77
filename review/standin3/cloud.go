package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is the platform's API for the duties. It refuses calls with a lower fencing
// token than one seen for the same duty and subject.
type cloud struct {
	record *record
	mu     sync.Mutex
	seen   map[string]uint64
	// problems lists how the rules on duties were broken.
	problems []string
	holders  map[string]string
	reports  map[int64]string
	acts     map[string][]act
}

func newCloud(r *record) *cloud {
	return &cloud{record: r, seen: map[string]uint64{}, holders: map[string]string{}, reports: map[int64]string{}, acts: map[string][]act{}}
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
		c.check(subject, fence, r, body)
	}
	c.record.add("cloud: %s from %s with fence %d: %d: %s", r.URL.Path, r.Header.Get("X-Duty-Holder"), fence, status, body)
	w.WriteHeader(status)
}

// act is an accepted call of a holder.
type act struct {
	holder string
	at     time.Time
}

// leaseMS is the time inside which holders may not act in the order A, B, A.
const leaseMS = 3000

func (c *cloud) check(subject string, fence uint64, r *http.Request, body []byte) {
	machine, _, _ := net.SplitHostPort(r.RemoteAddr)
	holder := machine + " " + r.Header.Get("X-Duty-Holder")
	key := fmt.Sprint(subject, " ", fence)
	if before, found := c.holders[key]; found && before != holder {
		c.problems = append(c.problems, fmt.Sprintf("ONE: %s and %s both used fence %d for %s", before, holder, fence, subject))
	}
	c.holders[key] = holder
	list := append(c.acts[subject], act{holder, time.Now()})
	c.acts[subject] = list
	for i := len(list) - 2; i > 0 && time.Since(list[i].at) < leaseMS*time.Millisecond; i-- {
		if list[i].holder == holder {
			continue
		}
		for j := i - 1; j >= 0 && time.Since(list[j].at) < leaseMS*time.Millisecond; j-- {
			if list[j].holder == holder {
				c.problems = append(c.problems, fmt.Sprintf("ONE: %s, %s and %s acted in this order inside the lease on %s", holder, list[i].holder, holder, subject))
				return
			}
		}
	}
	if subject == "/usage" {
		var u struct {
			Window int64           `json:"window_id"`
			Counts json.RawMessage `json:"counts"`
		}
		_ = json.Unmarshal(body, &u)
		if before, found := c.reports[u.Window]; found && before != string(u.Counts) {
			c.problems = append(c.problems, fmt.Sprintf("ONE: window %d was reported as %s and %s", u.Window, before, u.Counts))
		}
		c.reports[u.Window] = string(u.Counts)
	}
}
