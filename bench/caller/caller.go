// Package caller plays the callers of a deployment behind a balancer: it
// sends the requests of a workload, follows durable answers over entries that
// go away, retries what was not run, and records what it saw.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
)

// Options configure Callers.
type Options struct {
	// Entries are the "ip:port" of the entries' caller listeners, Operators
	// those of the operator listeners, in the same order.
	Entries   []string
	Operators []string
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	// Patience is how long a caller tries to get one request through.
	Patience time.Duration
	// HealthPeriod is how often the balancer asks /readyz.
	HealthPeriod time.Duration
	// Versions are the model versions that answers may come from.
	Versions []string
}

// pause between two tries of one request.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	healthLimit  = time.Second
)

// Callers play the callers. They are safe for concurrent use.
type Callers struct {
	options Options
	client  *http.Client
	next    atomic.Uint64
	ready   []atomic.Bool
	start   time.Time
}

// New returns Callers. Balance must run for requests to find an entry.
func New(o Options) *Callers {
	c := &Callers{
		options: o,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         o.Dial,
			MaxIdleConnsPerHost: 256,
		}},
		ready: make([]atomic.Bool, len(o.Entries)),
		start: time.Now(),
	}
	for i := range c.ready {
		c.ready[i].Store(true)
	}
	return c
}

// Close closes the idle connections.
func (c *Callers) Close() { c.client.CloseIdleConnections() }

// Balance asks the entries whether they are ready until ctx ends.
func (c *Callers) Balance(ctx context.Context) {
	ticker := time.NewTicker(c.options.HealthPeriod)
	defer ticker.Stop()
	for {
		for i, address := range c.options.Operators {
			c.ready[i].Store(c.isReady(ctx, address))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Callers) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// entry returns the next ready entry, or any when none is.
func (c *Callers) entry() string {
	n := len(c.options.Entries)
	first := int(c.next.Add(1))
	for i := range n {
		if at := (first + i) % n; c.ready[at].Load() {
			return c.options.Entries[at]
		}
	}
	return c.options.Entries[first%n]
}

// Do sends a request and returns its record.
func (c *Callers) Do(ctx context.Context, q workload.Request) history.Record {
	ctx, cancel := context.WithTimeout(ctx, c.options.Patience)
	defer cancel()
	var r history.Record
	if q.Class.Chat != nil {
		r = c.chat(ctx, q)
	} else {
		r = c.call(ctx, q)
	}
	r.Request = q
	r.Ended = time.Since(c.start)
	return r
}

// failure is an error reply of an entry.
type failure struct {
	status  int
	verdict string
	message string
}

func (f *failure) Error() string {
	return fmt.Sprintf("status %d (%s): %s", f.status, f.verdict, f.message)
}

// failureOf reads an error reply.
func failureOf(resp *http.Response) *failure {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	var in struct {
		Error struct{ Message, Verdict string }
	}
	_ = json.Unmarshal(body, &in)
	return &failure{status: resp.StatusCode, verdict: in.Error.Verdict, message: in.Error.Message}
}

// notRun says that an error promises that nothing ran: a refusal, or a
// connection that never came about.
func notRun(err error) bool {
	var f *failure
	if errors.As(err, &f) {
		return f.verdict == "not_run"
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// final says that a refusal would come again.
func final(err error) bool {
	var f *failure
	if !errors.As(err, &f) {
		return false
	}
	switch f.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func (c *Callers) newRequest(ctx context.Context, method, url string, q workload.Request, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A caller's own library must not send a request again by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+q.Customer.Key)
	req.Header.Set("X-Request-Kind", q.Class.Kind)
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	return req, nil
}
