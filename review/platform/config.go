package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// object is a JSON object.
type object = map[string]any

// Timeouts of routes that get no requests, in milliseconds. Each version of the
// configuration changes that of one of them.
const usualTimeoutMS, changedTimeoutMS = 14000, 13000

func routeOf(name, prefix, service string, timeoutMS int) object {
	return object{
		"name": name, "host": "ficu95.example", "prefix": prefix, "kind": "streaming",
		"timeout_ms": timeoutMS, "target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 1,
		"public": false, "session_affinity": true, "stream_resume": false, "gap_aim_ms": 300,
	}
}

// addedRoute returns the text of a route that was added and gets no requests.
func addedRoute(i, timeoutMS int) json.RawMessage {
	name := fmt.Sprintf("%06d", i)
	text, err := json.Marshal(routeOf("r-"+name, "/added"+name+"/", modelServices[0], timeoutMS))
	if err != nil {
		panic(err)
	}
	return text
}

// grow adds routes that get no requests to the configuration.
func (w *world) grow(count int) {
	for range count {
		w.added = append(w.added, addedRoute(len(w.added), usualTimeoutMS))
	}
	w.configure()
}

// configure writes the next version of the configuration. It is used by one
// goroutine.
func (w *world) configure() {
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.configuredAt = time.Now()
	w.mu.Unlock()
	var routes, services []any
	for _, name := range modelServices {
		routes = append(routes, routeOf("r-"+name, "/"+name+"/", name, 15000))
		services = append(services, object{
			"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": object{"slots": slots, "kv_tokens": 774511},
			"scaling": object{"min": 1, "max": 8, "boot_s": bootTime.Seconds(), "spot_price": 0.18,
				"zone_prices": object{"midrand": 0.85, "centurion": 1.2, "kempton": 1.0}},
		})
	}
	for i, text := range w.added {
		if i == version%len(w.added) {
			text = addedRoute(i, changedTimeoutMS)
		}
		routes = append(routes, text)
	}
	w.store.put("op", "config", object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "huka270", "api_keys": []string{"key-huka270"}, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 250152, "burst": 250152}},
	})
	w.note("config  version %d with %d routes", version, len(routes))
}
