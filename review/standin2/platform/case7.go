package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// removedKey is that of the tenant that is removed. No config ever held unknownKey.
	removedKey, unknownKey = "key-of-house-a", "key-of-nobody"
	rounds                 = 30
)

func configurationFor(version int, tenants ...any) map[string]any {
	if tenants == nil {
		tenants = []any{}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-order", "host": host, "prefix": "/order/", "kind": "unsafe", "timeout_ms": 1200, "target_latency_ms": 150,
			"priority": 2, "service": "desk", "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

// case7 takes the last tenant out of the config. It reports the requests with keys
// that no config in force holds that replicas run.
func case7() int {
	rec := NewRecord()
	w, err := NewWorld(rec)
	if err != nil {
		return fail(err)
	}
	defer w.Close()
	w.Store.Put("op", "config", configurationFor(1, map[string]any{"name": "house-a", "api_keys": []string{removedKey}}))
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
	time.Sleep(5 * time.Second)
	before := order(w, removedKey)
	// Without the disruption, removedKey stays valid and only unknownKey is asked with.
	keys := []string{unknownKey}
	if os.Getenv("TROUBLE") != "0" {
		w.Store.Put("op", "config", configurationFor(2))
		rec.Note("version 2, without the tenant, is acknowledged")
		keys = append(keys, removedKey)
	}
	time.Sleep(configApply + 500*time.Millisecond)
	from := rec.Now()
	for range rounds {
		for _, key := range keys {
			order(w, key)
		}
		time.Sleep(50 * time.Millisecond)
	}
	runs, shown := 0, 0
	for _, e := range rec.Events() {
		if e.Kind == "run" && e.Time > from {
			runs++
			if e.Key != "" {
				shown++
			}
		}
	}
	result := fmt.Sprintf("%d of %d requests with keys that the config in force doesn't hold were run; the replica was shown the key of %d", runs, rounds*len(keys)*len(w.Entries), shown)
	rec.Note("%s", result)
	fmt.Println(result)
	if err := rec.Write("review/7/record.txt"); err != nil {
		return fail(err)
	}
	if before != len(w.Entries) {
		return fail(errors.New("requests with the tenant's key were not served before it was removed"))
	}
	if runs > 0 {
		return Broken
	}
	return Held
}

// order sends an order with a key to each entry, and returns how many were answered with
// success.
func order(w *World, key string) int {
	served := 0
	for _, e := range w.Entries {
		a := w.Do(e, Request{ID: NewID(), Method: http.MethodPost, Host: host, Path: "/order/1", Key: key, Body: "candles", Deadline: 2500 * time.Millisecond})
		if a.Status == http.StatusOK {
			served++
		}
	}
	return served
}
