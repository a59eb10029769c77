package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store returns it.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// page is an answer about rows.
type page struct {
	Rows  []row  `json:"rows"`
	More  bool   `json:"more_pages"`
	Ver   uint64 `json:"ver"`
	NowMS int64  `json:"now_ms"`
}

// store is the platform's metadata store, in memory and without faults.
type store struct {
	began time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]row
	history []change
	// compacted is the version up to which the history is no longer kept.
	compacted uint64
	changed   chan struct{}
}

// change is a row of the history with the time at which it was written.
type change struct {
	row
	at time.Time
}

const (
	// answerTime is how long a call of the store takes.
	answerTime = 4 * time.Millisecond
	// historyTime is history_s.
	historyTime = 20 * time.Second
)

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.setLocked(row{rowKey: rowKey{Table: table, Key: key}, Value: data, Ver: s.ver})
	s.notifyLocked()
}

// drop deletes a row as the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.setLocked(row{rowKey: rowKey{Table: table, Key: key}, Ver: s.ver, Removed: true})
	s.notifyLocked()
}

func (s *store) setLocked(r row) {
	if r.Removed {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	now := time.Now()
	s.history = append(s.history, change{r, now})
	for now.Sub(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Ver
		s.history = s.history[1:]
	}
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) pageLocked() page {
	return page{Rows: []row{}, Ver: s.ver, NowMS: time.Since(s.began).Milliseconds()}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	status, answer := http.StatusNotFound, page{}
	switch r.URL.Path {
	case "/api/rows-tx":
		status, answer = s.commit(r)
	case "/api/rows-get":
		status, answer = s.get(r)
	case "/api/rows-feed":
		status, answer = s.feed(r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) commit(r *http.Request) (int, page) {
	var tx struct {
		Expect []struct {
			rowKey
			Ver uint64 `json:"ver"`
		} `json:"expected_revision"`
		Puts []struct {
			rowKey
			Value []byte `json:"value"`
		} `json:"puts"`
		Drops []rowKey `json:"drops"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, page{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, failed := s.pageLocked(), false
	for _, e := range tx.Expect {
		current, found := s.rows[e.rowKey]
		if found {
			answer.Rows = append(answer.Rows, current)
		}
		failed = failed || current.Ver != e.Ver
	}
	if failed {
		return http.StatusPreconditionFailed, answer
	}
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, page{}
		}
	}
	s.ver++
	for _, p := range tx.Puts {
		s.setLocked(row{rowKey: p.rowKey, Value: p.Value, Ver: s.ver})
	}
	for _, d := range tx.Drops {
		s.setLocked(row{rowKey: d, Ver: s.ver, Removed: true})
	}
	s.notifyLocked()
	return http.StatusOK, s.pageLocked()
}

// maxPageRows is the largest number of rows in an answer.
const maxPageRows = 500

func (s *store) get(r *http.Request) (int, page) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.pageLocked()
	for k, found := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			answer.Rows = append(answer.Rows, found)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if len(answer.Rows) > limit {
		answer.Rows, answer.More = answer.Rows[:limit], true
	}
	return http.StatusOK, answer
}

func (s *store) feed(r *http.Request) (int, page) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, page{}
	}
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		if since < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, page{}
		}
		answer := s.pageLocked()
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > since {
				answer.Rows = append(answer.Rows, h.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 || last {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}
