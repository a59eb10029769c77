package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken, empty if it held.
var cases = map[string]func(*testCase) (string, error){
	"foreign-entry": foreignEntry,
}

const host = "ficu95.example"

type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
	Public   bool   `json:"public"`
	Resume   bool   `json:"stream_resume"`
}

// configure writes a config with one plain service and one tenant.
func (c *testCase) configure() {
	text, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []route{
			{Name: "r-orders", Host: host, Prefix: "/orders/", Kind: "unsafe", Timeout: 1200, Target: 150, Priority: 2, Service: "orderdesk", Attempts: 1},
		},
		"services": []map[string]any{
			{"name": "orderdesk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "huka270", "api_keys": []string{"key-1"}, "priority": 1, "rate_per_s": 0, "burst": 0}},
	})
	c.store.put("op", "config", text)
}

var zones = []string{"midrand", "centurion", "kempton"}

// work is how long a replica works on a request.
const work = 200 * time.Millisecond

// startAll starts three replicas and three entries, and waits until the entries are ready.
func (c *testCase) startAll() ([]*replica, error) {
	c.configure()
	var out []*replica
	for i, zone := range zones {
		r, err := newReplica(c, "i-7f3a91c"+strconv.Itoa(i), "orderdesk", fmt.Sprintf("%s.%d", c.network, 100+i), zone)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	for _, zone := range zones {
		if _, err := c.startEntry("front-"+zone+"-1", zone); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // the entries get to know each other
	return out, nil
}

// orders sends orders on kept channels to every entry until the returned function is
// called, which returns their results by request.
func (c *testCase) orders() func() map[string]result {
	var (
		stop    = make(chan struct{})
		wg      sync.WaitGroup
		mu      sync.Mutex
		results = map[string]result{}
	)
	for _, e := range c.entries {
		for range 5 {
			wg.Go(func() {
				ch := &channel{record: c.record, addr: e.front}
				defer ch.close()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
					}
					r := ch.request("POST", host, fmt.Sprintf("/orders/%d", n), "key-1", "one candle", 2500*time.Millisecond)
					mu.Lock()
					results[r.id] = r
					mu.Unlock()
				}
			})
		}
	}
	return func() map[string]result {
		close(stop)
		wg.Wait()
		return results
	}
}

// drainBound is drain_ms, and lateExit is how long after its leaving a replica exits.
const drainBound, lateExit = 2 * time.Second, 4 * time.Second

// checkDrain returns how the rule DRAIN was broken for a replica whose leaving was
// acknowledged at a time, empty if it held.
func (c *testCase) checkDrain(r *replica, left time.Time, results map[string]result) string {
	late, lost, last := 0, 0, time.Duration(0)
	for _, a := range r.ran() {
		after := a.at.Sub(left)
		if after <= drainBound {
			continue
		}
		late, last = late+1, max(last, after)
		if got := results[a.id]; got.status != 200 || got.err != nil {
			lost++
			c.record.add("order %s ran at %s %v after the ack of its leaving and was lost: %s", a.id, r.id, after.Round(time.Millisecond), got)
		}
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached %s later than %v after the ack of its leaving, the last one after %v; %d of them ran and were not answered with success",
		late, r.id, drainBound, last.Round(time.Millisecond), lost)
}

// foreignEntry lets another writer write an entry with missing fields for a replica that
// has left. The entry names no replica to use.
func foreignEntry(c *testCase) (string, error) {
	replicas, err := c.startAll()
	if err != nil {
		return "", err
	}
	end := c.orders()
	time.Sleep(time.Second)
	left := replicas[1].leave()
	c.record.add("store: entry of replica %s removed", replicas[1].id)
	time.Sleep(time.Second)
	if c.trouble {
		text, _ := json.Marshal(map[string]any{"service": "orderdesk", "address": replicas[1].address, "slots": 64, "state": "ready"})
		c.store.put("servers", replicas[1].id, text)
		c.record.add("store: another writer wrote servers/%s: %s", replicas[1].id, text)
	}
	time.Sleep(lateExit - time.Second)
	c.record.add("replica %s exits", replicas[1].id)
	replicas[1].exit()
	time.Sleep(3 * time.Second)
	return c.checkDrain(replicas[1], left, end()), nil
}
