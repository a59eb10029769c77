package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// cloudAnswerTime is how long a call of the platform's API takes.
	cloudAnswerTime = 10 * time.Millisecond
	// bootTime is the time from an order until its replicas serve.
	bootTime = 4 * time.Second
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
)

// call is a call of a duty.
type call struct {
	at            time.Time
	duty, subject string
	holder        string
	fence         uint64
	accepted      bool
	text          string
	inTouch       bool
}

// cloud is the platform's API. It checks the epoch number by duty and subject.
type cloud struct {
	w *world

	mu     sync.Mutex
	factor int // answers take this many times as long
	fences map[string]uint64
	calls  []call
	pools  map[string][]*replica
	onCall func(call)
}

func newCloud(w *world) *cloud {
	return &cloud{w: w, factor: 1, fences: make(map[string]uint64), pools: make(map[string][]*replica)}
}

func (c *cloud) slow(factor int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.factor = factor
	c.w.note("cloud   answers take %d times %v from now on", factor, cloudAnswerTime)
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	var body struct {
		Service string         `json:"service"`
		Zone    string         `json:"zone"`
		Desired int            `json:"desired_count"`
		Spot    bool           `json:"spot"`
		Window  int64          `json:"window_id"`
		Counts  map[string]int `json:"counts"`
	}
	if err == nil {
		err = json.NewDecoder(r.Body).Decode(&body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k := call{at: time.Now(), holder: r.Header.Get("X-Duty-Holder"), fence: fence}
	switch r.URL.Path {
	case "/usage":
		k.duty, k.subject, k.text = "usage_report", "all windows", fmt.Sprintf("window %d %v", body.Window, body.Counts)
	case "/scale":
		k.duty, k.subject = "autoscale", body.Service+" in "+body.Zone
		k.text = fmt.Sprintf("%d replicas, spot %v", body.Desired, body.Spot)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c.mu.Lock()
	k.inTouch = c.w.inTouch(k.holder)
	key := k.duty + "/" + k.subject
	k.accepted = fence >= c.fences[key]
	c.fences[key] = max(fence, c.fences[key])
	c.calls = append(c.calls, k)
	wait, seen := cloudAnswerTime*time.Duration(c.factor), c.onCall
	if k.accepted && k.duty == "autoscale" {
		c.orderLocked(body.Service, body.Zone, body.Spot, body.Desired)
	}
	c.mu.Unlock()
	verb := "accepted"
	if !k.accepted {
		verb = "refused, a higher epoch number was seen"
	}
	c.w.note("duty    %s of %s by %s with epoch number %d: %s; %s", k.duty, k.subject, k.holder, fence, k.text, verb)
	if seen != nil {
		seen(k)
	}
	time.Sleep(wait)
	if !k.accepted {
		w.WriteHeader(http.StatusConflict)
	}
}

// orderLocked carries out an accepted order.
func (c *cloud) orderLocked(service, zone string, spot bool, count int) {
	key := fmt.Sprint(service, "/", zone, "/", spot)
	pool := c.pools[key]
	for len(pool) > count {
		last := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		if last != nil {
			last.leave()
		}
	}
	for len(pool) < count {
		i := len(pool)
		pool = append(pool, nil)
		time.AfterFunc(bootTime, func() { c.boot(key, service, zone, spot, i) })
	}
	c.pools[key] = pool
}

func (c *cloud) boot(key, service, zone string, spot bool, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i >= len(c.pools[key]) || c.pools[key][i] != nil {
		return
	}
	r, err := c.w.startReplica(service, zone, spot)
	if err == nil {
		c.pools[key][i] = r
	}
}

// add starts a replica that is there from the beginning.
func (c *cloud) add(service, zone string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, err := c.w.startReplica(service, zone, false)
	if err != nil {
		return err
	}
	key := fmt.Sprint(service, "/", zone, "/", false)
	c.pools[key] = append(c.pools[key], r)
	return nil
}
