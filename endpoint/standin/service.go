package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Name string
	// Latency is the duration of a call.
	Latency time.Duration
	// Lookup enables the lookup of executed keys.
	Lookup bool
	// ChecksFence refuses calls with a fencing token lower than the highest
	// one received.
	ChecksFence bool
	// Ledger is shared by the replicas of the service; nil creates a new one.
	Ledger *Ledger
	// Seed seeds the random faults.
	Seed uint64
}

// ServiceFaults are the faults of a Service. Probabilities are in [0, 1]. The
// zero value has none.
type ServiceFaults struct {
	// ExtraLatency is added to the time of each call.
	ExtraLatency time.Duration `json:"slow_ns"`
	// DieBefore and DieAfter are the probabilities that the connection is
	// reset before, or after, the call was executed.
	DieBefore float64 `json:"die_before"`
	DieAfter  float64 `json:"die_after"`
	// Dead resets every connection.
	Dead bool `json:"dead"`
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

// Service is a plain service in memory. It executes and counts every call that
// it receives, including repeated ones, so that tests can detect calls that ran
// twice. It is safe for concurrent use.
type Service struct {
	cfg    ServiceConfig
	ledger *Ledger

	mu     sync.Mutex
	rng    *rand.Rand
	faults ServiceFaults
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	ledger := cfg.Ledger
	if ledger == nil {
		ledger = NewLedger()
	}
	return &Service{cfg: cfg, ledger: ledger, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Executions returns the number of times that any replica executed a key.
func (s *Service) Executions(key string) int { return s.ledger.Executions(key) }

// Counts returns the counts of the calls that all replicas executed.
func (s *Service) Counts() ServiceCounts { return s.ledger.Counts() }

// Last returns the most recent call that any replica executed.
func (s *Service) Last() endpoint.Call { return s.ledger.Last() }

// Call implements endpoint.Service.
func (s *Service) Call(ctx context.Context, c endpoint.Call) (endpoint.Reply, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	if err := ctx.Err(); err != nil {
		return endpoint.Reply{}, verdict.New(verdict.NotRun, verdict.CodeCancelled, "service: %w", err)
	}
	faults := s.Faults()
	if faults.Dead || s.occurs(faults.DieBefore) {
		return endpoint.Reply{}, resetError()
	}
	if err := sleep(ctx, s.cfg.Latency+faults.ExtraLatency); err != nil {
		return endpoint.Reply{}, err
	}
	if seen, ok := s.checkFence(c); !ok {
		return fencedReply(c.Fence, seen), nil
	}
	reply := s.reply(c)
	s.ledger.record(c, reply)
	if s.occurs(faults.DieAfter) {
		return endpoint.Reply{}, resetError()
	}
	return reply, nil
}

// Lookup implements endpoint.Service.
func (s *Service) Lookup(_ context.Context, key string) (endpoint.Reply, bool, error) {
	if !s.cfg.Lookup {
		return endpoint.Reply{}, false, verdict.Wrap(verdict.NotRun, endpoint.ErrNoLookup)
	}
	if s.Faults().Dead {
		return endpoint.Reply{}, false, resetError()
	}
	reply, ok := s.ledger.reply(key)
	return reply, ok, nil
}

// checkFence reports whether the call may be executed: its fencing token is
// current or absent, or the service checks none. If not, it also returns the
// highest token received.
func (s *Service) checkFence(c endpoint.Call) (uint64, bool) {
	if !s.cfg.ChecksFence || c.Fence == 0 {
		return 0, true
	}
	return s.ledger.acceptFence(c.Fence)
}

func (s *Service) reply(c endpoint.Call) endpoint.Reply {
	return jsonReply(http.StatusOK, ServiceReply{
		Service: s.cfg.Name, Method: c.Method, Path: c.Path, Key: c.Key,
		Digest: strconv.FormatUint(xxhash.Sum64(c.Body), 16),
	})
}

// occurs returns true with the given probability.
func (s *Service) occurs(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
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
