package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// bodyLimit bounds the body of a call, in bytes.
const bodyLimit = 4 << 20

// ServiceConfig sets up a Service.
type ServiceConfig struct {
	Name string
	// Latency is how long a call takes.
	Latency time.Duration
	// Lookup says that the service can be asked about a key.
	Lookup bool
	// ChecksFence refuses calls with a fencing number lower than one seen.
	ChecksFence bool
	// Seed is that of the random faults.
	Seed uint64
}

// ServiceFaults are the faults of a Service. Probabilities are in [0, 1]. The
// zero value has none.
type ServiceFaults struct {
	// Slow is added to the time of each call.
	Slow time.Duration `json:"slow_ns"`
	// DieBefore and DieAfter are the probabilities that the connection is
	// reset before, or after, the call was executed.
	DieBefore float64 `json:"die_before"`
	DieAfter  float64 `json:"die_after"`
	// Dead resets every connection.
	Dead bool `json:"dead"`
}

// ServiceCounts are what a Service executed, for checkers.
type ServiceCounts struct {
	// Executions counts by idempotency key, Attempts by attempt id.
	Executions map[string]int `json:"executions"`
	Attempts   map[string]int `json:"attempts"`
	// Calls counts all executed calls.
	Calls int `json:"calls"`
}

// ServiceReply is the JSON body of a reply.
type ServiceReply struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Digest is the hash of the call's body.
	Digest string `json:"digest"`
}

// Service is a plain service in memory. It executes each call it gets, also
// one that it has executed before, and counts. It is safe for concurrent use.
type Service struct {
	cfg ServiceConfig
	switchedFaults

	mu      sync.Mutex
	rng     *rand.Rand
	fence   uint64
	counts  ServiceCounts
	replies map[string]endpoint.Reply
}

type switchedFaults struct {
	faultsMu sync.Mutex
	faults   ServiceFaults
}

// SetFaults replaces the faults.
func (s *switchedFaults) SetFaults(f ServiceFaults) {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *switchedFaults) Faults() ServiceFaults {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	return s.faults
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		counts:  ServiceCounts{Executions: make(map[string]int), Attempts: make(map[string]int)},
		replies: make(map[string]endpoint.Reply),
	}
}

// Executions returns how often a key was executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Executions[key]
}

// Counts returns a copy of all counts.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Executions = maps.Clone(c.Executions)
	c.Attempts = maps.Clone(c.Attempts)
	return c
}

// Call implements endpoint.Service.
func (s *Service) Call(ctx context.Context, c endpoint.Call) (endpoint.Reply, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	faults := s.Faults()
	if faults.Dead || s.hits(faults.DieBefore) {
		return endpoint.Reply{}, errReset()
	}
	if wait := s.cfg.Latency + faults.Slow; wait > 0 {
		if err := pause(ctx, wait, nil); err != nil {
			return endpoint.Reply{}, err
		}
	}
	reply := s.execute(c)
	if s.hits(faults.DieAfter) {
		return endpoint.Reply{}, errReset()
	}
	return reply, nil
}

// Lookup implements endpoint.Service.
func (s *Service) Lookup(_ context.Context, key string) (endpoint.Reply, bool, error) {
	if !s.cfg.Lookup {
		return endpoint.Reply{}, false, verdict.Wrap(verdict.NotRun, endpoint.ErrNoLookup)
	}
	if s.Faults().Dead {
		return endpoint.Reply{}, false, errReset()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply, ok := s.replies[key]
	return reply, ok, nil
}

// execute counts a call and replies. A call with an old fencing number is
// refused with 409 and not executed.
func (s *Service) execute(c endpoint.Call) endpoint.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFence && c.Fence > 0 {
		if c.Fence < s.fence {
			return fencedReply(c.Fence, s.fence)
		}
		s.fence = c.Fence
	}
	s.counts.Calls++
	if c.AttemptID != "" {
		s.counts.Attempts[c.AttemptID]++
	}
	reply := s.reply(c)
	if c.Key != "" {
		s.counts.Executions[c.Key]++
		s.replies[c.Key] = reply
	}
	return reply
}

func (s *Service) reply(c endpoint.Call) endpoint.Reply {
	return jsonReply(http.StatusOK, ServiceReply{
		Service: s.cfg.Name, Method: c.Method, Path: c.Path, Key: c.Key,
		Digest: strconv.FormatUint(xxhash.Sum64(c.Body), 16),
	})
}

func fencedReply(fence, seen uint64) endpoint.Reply {
	err := verdict.New(verdict.NotRun, verdict.CodeFenced, "fence %d is older than %d", fence, seen)
	reply := jsonReply(http.StatusConflict, httpjson.Failure{Error: *httpjson.DetailOf(err)})
	reply.Header.Set("X-Verdict", verdict.NotRun.String())
	return reply
}

func jsonReply(status int, value any) endpoint.Reply {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are plain structs
	}
	return endpoint.Reply{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}

func (s *Service) hits(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
}

// Handler serves the service over HTTP; package endpoint/rest is its client.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathLookup, handle(s.serveLookup))
	mux.HandleFunc("GET /faults", handle(func(*http.Request) (any, error) { return s.Faults(), nil }))
	mux.HandleFunc("POST /faults", handle(s.serveFaults))
	mux.HandleFunc("GET /executions", handle(func(*http.Request) (any, error) { return s.Counts(), nil }))
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveLookup(r *http.Request) (any, error) {
	reply, found, err := s.Lookup(r.Context(), r.URL.Query().Get("key"))
	if errors.Is(err, endpoint.ErrNoLookup) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "service has no lookup")
	}
	return protocol.LookupAnswer{Found: found, Reply: &reply}, err
}

func (s *Service) serveFaults(r *http.Request) (any, error) {
	f := s.Faults()
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	s.SetFaults(f)
	return f, nil
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		fail(w, verdict.New(verdict.NotRun, verdict.CodeInvalid, "body: %w", err))
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get(protocol.HeaderFence), 10, 64)
	reply, err := s.Call(r.Context(), endpoint.Call{
		Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body,
		Key: r.Header.Get(protocol.HeaderKey), AttemptID: r.Header.Get(protocol.HeaderAttempt), Fence: fence,
	})
	if err != nil {
		fail(w, err)
		return
	}
	maps.Copy(w.Header(), reply.Header)
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
