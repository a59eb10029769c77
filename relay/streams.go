package relay

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Move tells a running stream to leave its endpoint.
type Move struct {
	// MigrateKV asks to export the KV cache for the next endpoint; otherwise
	// the answer is resumed from its text.
	MigrateKV bool
	Reason    string
}

// Error implements error, so that a Move can be the cause of a cancellation.
func (m *Move) Error() string { return "stream has to move: " + m.Reason }

// Stream describes a running stream, for decisions about its host.
type Stream struct {
	RequestID    string
	Customer     string
	Model        string
	Version      string
	Urgency      template.Urgency
	EndpointID   string
	Hashes       []uint64
	PromptTokens int
	// Tokens generated so far, and the most the answer may have.
	Tokens    int
	MaxTokens int
}

// running is a stream that an attempt reads now.
type running struct {
	choice routing.Choice
	engine endpoint.Engine
	answer *answer
	cancel context.CancelCauseFunc
	// started is set by the reading goroutine at the first frame.
	started bool

	mu     sync.Mutex
	tokens int
}

// streams are the running streams by host.
type streams struct {
	mu     sync.Mutex
	byHost map[string]map[*running]struct{}
}

func newStreams() *streams {
	return &streams{byHost: make(map[string]map[*running]struct{})}
}

func (s *streams) add(r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.byHost[r.choice.HostID]
	if host == nil {
		host = make(map[*running]struct{})
		s.byHost[r.choice.HostID] = host
	}
	host[r] = struct{}{}
}

func (s *streams) remove(r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.byHost[r.choice.HostID]
	delete(host, r)
	if len(host) == 0 {
		delete(s.byHost, r.choice.HostID)
	}
}

// urgentPart returns the part of the running streams that is urgent.
func (s *streams) urgentPart() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, urgent := 0, 0
	for _, host := range s.byHost {
		for r := range host {
			all++
			if r.answer.request.Urgency == template.UrgencyUrgent {
				urgent++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(urgent) / float64(all)
}

func (s *streams) on(hostID string) []*running {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*running, 0, len(s.byHost[hostID]))
	for r := range s.byHost[hostID] {
		out = append(out, r)
	}
	return out
}

func (r *running) setTokens(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = n
}

func (r *running) describe() Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.answer.request
	return Stream{
		RequestID:    q.ID,
		Customer:     q.Customer,
		Model:        q.Model,
		Version:      q.Version,
		Urgency:      q.Urgency,
		EndpointID:   r.choice.Endpoint.ID,
		Hashes:       q.Hashes,
		PromptTokens: q.PromptTokens,
		Tokens:       r.tokens,
		MaxTokens:    q.MaxTokens,
	}
}
