package relay

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Move is a request to move a running stream off its endpoint.
type Move struct {
	// MigrateKV requests a transfer of the KV cache to the next endpoint.
	// Otherwise the answer is resumed from its text.
	MigrateKV bool
	Reason    string
}

// Error implements error, so that a Move can be the cause of a cancellation.
func (m *Move) Error() string { return "stream has to move: " + m.Reason }

// Stream describes a running stream, for decisions when its host drains.
type Stream struct {
	RequestID    string
	Customer     string
	Model        string
	Version      string
	Urgency      template.Urgency
	EndpointID   string
	Hashes       []uint64
	PromptTokens int
	// Tokens is the number of answer tokens so far. MaxTokens is the maximum
	// length of the answer.
	Tokens    int
	MaxTokens int
}

// runningStream is a stream that a call of Run is starting or reading.
type runningStream struct {
	choice routing.Choice
	engine endpoint.Engine
	answer *answer
	cancel context.CancelCauseFunc
	// started is set at the first frame. Only the reading goroutine uses
	// it.
	started bool

	mu     sync.Mutex
	tokens int
}

// streams holds the running streams by host.
type streams struct {
	mu     sync.Mutex
	byHost map[string]map[*runningStream]struct{}
}

func newStreams() *streams {
	return &streams{byHost: make(map[string]map[*runningStream]struct{})}
}

func (s *streams) add(r *runningStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.byHost[r.choice.HostID]
	if host == nil {
		host = make(map[*runningStream]struct{})
		s.byHost[r.choice.HostID] = host
	}
	host[r] = struct{}{}
}

func (s *streams) remove(r *runningStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.byHost[r.choice.HostID]
	delete(host, r)
	if len(host) == 0 {
		delete(s.byHost, r.choice.HostID)
	}
}

// urgentFraction returns the fraction of the running streams that is urgent.
func (s *streams) urgentFraction() float64 {
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

func (s *streams) onHost(hostID string) []*runningStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*runningStream, 0, len(s.byHost[hostID]))
	for r := range s.byHost[hostID] {
		out = append(out, r)
	}
	return out
}

func (r *runningStream) setTokens(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = n
}

func (r *runningStream) describe() Stream {
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
