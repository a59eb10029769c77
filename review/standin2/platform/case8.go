package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Bounds of the settings.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
)

func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-look", "host": host, "prefix": "/look/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 150,
			"priority": 2, "service": "desk", "max_attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "house-a", "api_keys": keys}},
	}
}

// case8 makes the channels between entries and the store go silent, and then takes
// a key away. It reports the requests with that key that are run too late.
func case8() int {
	rec := NewRecord()
	w, err := NewWorld(rec)
	if err != nil {
		return fail(err)
	}
	defer w.Close()
	proxy, err := w.Proxy()
	if err != nil {
		return fail(err)
	}
	w.Store.Put("op", "config", configuration(1, "key-kept", "key-revoked"))
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := w.Replica(id, "desk", 5*time.Millisecond); err != nil {
			return fail(err)
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
	time.Sleep(8 * time.Second)
	w.Store.Put("op", "config", configuration(2, "key-kept", "key-revoked", "key-new"))
	rec.Note("version 2 is acknowledged")
	time.Sleep(time.Second)
	if os.Getenv("TROUBLE") != "0" {
		rec.Note("%d channels to the store go silent", proxy.Silence())
	}
	time.Sleep(contact + 100*time.Millisecond)
	w.Store.Put("op", "config", configuration(3, "key-kept", "key-new"))
	acked := rec.Now()
	rec.Note("version 3, without key-revoked, is acknowledged")
	var wg sync.WaitGroup
	end := time.Now().Add(14 * time.Second)
	late, served, kept := 0, 0, 0
	var last time.Duration
	var mu sync.Mutex
	for _, e := range w.Entries {
		wg.Go(func() {
			for time.Now().Before(end) {
				a := w.Do(e, Request{ID: NewID(), Method: http.MethodGet, Host: host, Path: "/look/1", Key: "key-revoked", Deadline: 2500 * time.Millisecond})
				if a.Sent > acked+configApply {
					mu.Lock()
					late++
					if a.Status == http.StatusOK {
						served++
						last = max(last, a.Sent)
					}
					mu.Unlock()
				}
				other := w.Do(e, Request{ID: NewID(), Method: http.MethodGet, Host: host, Path: "/look/1", Key: "key-kept", Deadline: 2500 * time.Millisecond})
				if other.Status == http.StatusOK {
					mu.Lock()
					kept++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	result := fmt.Sprintf("%d of %d requests with key-revoked that were sent over %v after the ack were run", served, late, configApply)
	if served > 0 {
		result += fmt.Sprintf(", the last one sent %.1f s after it", (last - acked).Seconds())
	}
	rec.Note("%s", result)
	fmt.Println(result)
	if err := rec.Write("review/8/record.txt"); err != nil {
		return fail(err)
	}
	if late == 0 || kept == 0 {
		return fail(errors.New("no request was sent, or none with the other key was served"))
	}
	if served > 0 {
		return Broken
	}
	return Held
}
