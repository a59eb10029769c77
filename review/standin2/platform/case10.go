package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// retryAfter is what the replica states, in seconds.
	retryAfter = "3600"
	// tolerated is how many requests of one machine may reach the replica later than
	// grace after it has stated that.
	tolerated = 2
	grace     = 500 * time.Millisecond
	period    = 10 * time.Second
)

// case10 has a replica turn requests away with 503 and a Retry-After of an hour. It
// reports the requests that still reach it.
func case10() int {
	rec := NewRecord()
	w, err := NewWorld(rec)
	if err != nil {
		return fail(err)
	}
	defer w.Close()
	w.Store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-look", "host": host, "prefix": "/look/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 150,
			"priority": 2, "service": "desk", "max_attempts": 2, "public": true,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "house-a", "api_keys": []string{"key-a"}}},
	})
	for _, id := range []string{"i-1", "i-2", "i-paused"} {
		r, err := w.Replica(id, "desk", 5*time.Millisecond)
		if err != nil {
			return fail(err)
		}
		if id == "i-paused" && os.Getenv("TROUBLE") != "0" {
			r.RetryAfter = retryAfter
		}
	}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := w.AddEntry(zone); err != nil {
			return fail(err)
		}
	}
	if err := w.AwaitReady(8 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	entryOf := make(map[string]string)
	served := 0
	end := time.Now().Add(period)
	for _, e := range w.Entries {
		wg.Go(func() {
			for time.Now().Before(end) {
				id := NewID()
				mu.Lock()
				entryOf[id] = e.Name
				mu.Unlock()
				a := w.Do(e, Request{ID: id, Method: http.MethodGet, Host: host, Path: "/look/1", Key: "key-a", Deadline: 2500 * time.Millisecond})
				mu.Lock()
				if a.Status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	stated, late := make(map[string]time.Duration), make(map[string]int)
	for _, e := range rec.Events() {
		if e.Kind != "turned away" {
			continue
		}
		entry := entryOf[e.Request]
		if at, found := stated[entry]; !found {
			stated[entry] = e.Time
		} else if e.Time > at+grace {
			late[entry]++
		}
	}
	broken := false
	for _, e := range w.Entries {
		result := fmt.Sprintf("%s: %d requests reached the replica later than %v after it had asked for a pause of %s s", e.Name, late[e.Name], grace, retryAfter)
		rec.Note("%s", result)
		fmt.Println(result)
		broken = broken || late[e.Name] > tolerated
	}
	if err := rec.Write("review/10/record.txt"); err != nil {
		return fail(err)
	}
	if served == 0 {
		return fail(errors.New("no request was served"))
	}
	if broken {
		return Broken
	}
	return Held
}
