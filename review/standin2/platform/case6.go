package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// case6 kills a replica in the middle of streams that have neither a length nor
// chunks. It reports the streams that end early and look complete.
func case6() int {
	rec := NewRecord()
	w, err := NewWorld(rec)
	if err != nil {
		return fail(err)
	}
	defer w.Close()
	w.Store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-plan", "host": host, "prefix": "/plan/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000,
			"priority": 1, "service": "drafter", "max_attempts": 1, "public": false, "session_affinity": true, "stream_resume": false, "gap_aim_ms": 300,
		}, map[string]any{
			"name": "r-look", "host": host, "prefix": "/look/", "kind": "safe", "timeout_ms": 15000, "target_latency_ms": 1000,
			"priority": 1, "service": "drafter", "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "drafter", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "house-a", "api_keys": []string{"key-a"}}},
	})
	var replicas []*Streamer
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		r, err := w.Streamer(id, "drafter")
		if err != nil {
			return fail(err)
		}
		replicas = append(replicas, r)
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
	whole, short, cut := make(map[string]int), make(map[string]int), make(map[string]int)
	paths := []string{"/plan/1", "/look/1"}
	for _, e := range w.Entries {
		for i := range 12 {
			wg.Go(func() {
				path := paths[i%len(paths)]
				a := w.Do(e, Request{ID: NewID(), Method: http.MethodPost, Host: host, Path: path, Key: "key-a", Body: "plan", Deadline: 15 * time.Second})
				events := strings.Count(a.Body, "data: ")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Status != http.StatusOK:
					cut[path]++
				case events < streamEvents:
					short[path]++
					rec.Note("%s %s: success, %d of %d parts, the answer looks complete", e.Name, path, events, streamEvents)
				default:
					whole[path]++
				}
			})
		}
	}
	if os.Getenv("TROUBLE") != "0" {
		time.Sleep(streamEvents * streamPause / 2)
		victim := busiest(rec, replicas)
		rec.Note("replica %s is killed", victim.ID)
		victim.Kill()
		w.Store.Drop("servers", victim.ID)
	}
	wg.Wait()
	for _, path := range paths {
		result := fmt.Sprintf("%s: %d answers whole, %d that ended early and look complete, %d that were cut or failed", path, whole[path], short[path], cut[path])
		rec.Note("%s", result)
		fmt.Println(result)
	}
	if err := rec.Write("review/6/record.txt"); err != nil {
		return fail(err)
	}
	if whole[paths[0]] == 0 {
		return fail(errors.New("no stream was whole"))
	}
	if short[paths[0]]+short[paths[1]] > 0 {
		return Broken
	}
	return Held
}

// busiest returns the replica that runs most streams.
func busiest(rec *Record, replicas []*Streamer) *Streamer {
	streams, runs := make(map[string]bool), make(map[string]int)
	for _, e := range rec.Events() {
		switch {
		case e.Kind == "sent" && strings.Contains(e.Text, "/plan/"):
			streams[e.Request] = true
		case e.Kind == "run" && streams[e.Request]:
			runs[e.At]++
		}
	}
	best := replicas[0]
	for _, r := range replicas {
		if runs[r.ID] > runs[best.ID] {
			best = r
		}
	}
	return best
}
