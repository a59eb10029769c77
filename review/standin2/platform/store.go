package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// txTime is how long a transaction takes.
const txTime = 4 * time.Millisecond

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// Store is the platform's metadata store. It keeps its whole history.
type Store struct {
	start time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{start: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// Put writes a row as the operator or a replica does. The row is acknowledged when Put
// returns.
func (s *Store) Put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values are literals of this review
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginLocked()
	s.putLocked(rowKey{Table: table, Key: key}, text)
}

// Drop deletes a row as a replica that has left does.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginLocked()
	s.dropLocked(rowKey{Table: table, Key: key})
}

// beginLocked begins a transaction.
func (s *Store) beginLocked() {
	s.ver++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) putLocked(k rowKey, value []byte) {
	r := row{Table: k.Table, Part: k.Part, Key: k.Key, Value: value, Ver: s.ver}
	s.rows[k] = r
	s.history = append(s.history, r)
}

func (s *Store) dropLocked(k rowKey) {
	if _, found := s.rows[k]; !found {
		return
	}
	delete(s.rows, k)
	s.history = append(s.history, row{Table: k.Table, Part: k.Part, Key: k.Key, Ver: s.ver, Removed: true})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /api/rows-tx":
		s.transact(w, r)
	case "GET /api/rows-get":
		s.get(w, r)
	case "GET /api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type wireTransaction struct {
	Expect []row `json:"expected_revision"`
	Puts   []row `json:"puts"`
	Drops  []row `json:"drops"`
}

func keyOf(r row) rowKey { return rowKey{r.Table, r.Part, r.Key} }

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx wireTransaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Concat(tx.Puts, tx.Drops) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	conflict := false
	current := []row{}
	for _, e := range tx.Expect {
		have, found := s.rows[keyOf(e)]
		conflict = conflict || have.Ver != e.Ver
		if found {
			current = append(current, have)
		}
	}
	if conflict {
		s.answerLocked(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.beginLocked()
	for _, e := range tx.Puts {
		s.putLocked(keyOf(e), e.Value)
	}
	for _, e := range tx.Drops {
		s.dropLocked(keyOf(e))
	}
	s.answerLocked(w, http.StatusOK, map[string]any{})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return strings.Compare(rows[i].Key, rows[j].Key) < 0 })
	s.answerLocked(w, http.StatusOK, map[string]any{"rows": rows, "more_pages": false})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > since {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 || ended {
			s.answerLocked(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answerLocked(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now_ms"] = s.ver, time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(body)
}

// Cloud is the platform's API for the calls of duties. It checks epoch numbers.
type Cloud struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// NewCloud returns a Cloud that has seen no call.
func NewCloud() *Cloud { return &Cloud{highest: make(map[string]uint64)} }

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.highest[r.URL.Path] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest[r.URL.Path] = fence
	w.WriteHeader(http.StatusOK)
}
