package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store: rows, feeds and transactions, in memory.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	started time.Time
}

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), version: 1}
}

// put writes a row, as the operator, a replica or another writer does. It returns the
// time of the acknowledgement.
func (s *store) put(table, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(row{rowKey: rowKey{Table: table, Key: key}, Value: base64.StdEncoding.EncodeToString(value), Ver: s.version})
	return time.Now()
}

// drop removes a row and returns the time of the acknowledgement.
func (s *store) drop(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(row{rowKey: rowKey{Table: table, Key: key}, Ver: s.version, Removed: true})
	return time.Now()
}

func (s *store) writeLocked(r row) {
	if r.Removed {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers calls until the listener is closed.
func (s *store) serve(l net.Listener) {
	_ = (&http.Server{Handler: s}).Serve(l)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var status int
	var answer any
	switch r.URL.Path {
	case "/api/rows-get":
		status, answer = s.get(r)
	case "/api/rows-feed":
		status, answer = s.feed(r)
	case "/api/rows-tx":
		status, answer = s.transact(r)
	case "/api/rows-parts":
		status, answer = s.parts(r)
	default:
		status, answer = http.StatusNotFound, map[string]any{}
	}
	body, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) page(rows []row, more bool) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "more_pages": more, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds()}
}

func (s *store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	var out []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	return http.StatusOK, s.page(out, more)
}

func (s *store) parts(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for k := range s.rows {
		if k.Table == r.URL.Query().Get("table") && !seen[k.Part] {
			seen[k.Part] = true
			parts = append(parts, k.Part)
		}
	}
	sort.Strings(parts)
	return http.StatusOK, map[string]any{"parts": parts, "ver": s.version}
}

func (s *store) feed(r *http.Request) (int, any) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		var out []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > since {
				out = append(out, h)
			}
		}
		page, changed := s.page(out, false), s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return http.StatusOK, page
		}
		select {
		case <-changed:
		case <-end.C:
			return http.StatusOK, page
		case <-r.Context().Done():
			return http.StatusOK, page
		}
	}
}

type transaction struct {
	Expect []row    `json:"expected_revision"`
	Puts   []row    `json:"puts"`
	Drops  []rowKey `json:"drops"`
}

func (s *store) transact(r *http.Request) (int, any) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, map[string]any{}
		}
	}
	conflict := false
	var current []row
	for _, e := range tx.Expect {
		now, found := s.rows[e.rowKey]
		if found {
			current = append(current, now)
		}
		conflict = conflict || now.Ver != e.Ver
	}
	if conflict {
		return http.StatusPreconditionFailed, s.page(current, false)
	}
	s.version++
	for _, p := range tx.Puts {
		s.writeLocked(row{rowKey: p.rowKey, Value: p.Value, Ver: s.version})
	}
	for _, d := range tx.Drops {
		s.writeLocked(row{rowKey: d, Ver: s.version, Removed: true})
	}
	return http.StatusOK, s.page(nil, false)
}
