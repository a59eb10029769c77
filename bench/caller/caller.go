// Package caller simulates the clients of a deployment behind a load balancer.
// It sends the requests of a workload, reads durable answers through other
// entries when an entry fails, retries requests that have not run, and returns
// a history record of each request.
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

// Options configure Clients.
type Options struct {
	// Entries are the "ip:port" of the entries' client listeners and
	// Operators those of their operator listeners, in the same order.
	Entries   []string
	Operators []string
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	// Timeout bounds the time a client spends on one request, retries
	// included.
	Timeout time.Duration
	// HealthPeriod is the interval between two requests of the load
	// balancer to /readyz of an entry.
	HealthPeriod time.Duration
	// Versions are the model versions whose answers are accepted as
	// correct.
	Versions []string
}

// The backoff between two attempts of a request starts at initialBackoff and
// doubles up to maxBackoff.
const (
	initialBackoff     = 50 * time.Millisecond
	maxBackoff         = time.Second
	healthCheckTimeout = time.Second
)

// Clients send requests on behalf of the customers of a deployment. They are
// safe for concurrent use.
type Clients struct {
	options    Options
	client     *http.Client
	nextEntry  atomic.Uint64
	entryReady []atomic.Bool
	start      time.Time
}

// New returns Clients that consider all entries ready. While RunHealthChecks
// runs, they avoid entries that are not.
func New(o Options) *Clients {
	c := &Clients{
		options: o,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         o.Dial,
			MaxIdleConnsPerHost: 256,
		}},
		entryReady: make([]atomic.Bool, len(o.Entries)),
		start:      time.Now(),
	}
	for i := range c.entryReady {
		c.entryReady[i].Store(true)
	}
	return c
}

// Close closes the idle connections.
func (c *Clients) Close() { c.client.CloseIdleConnections() }

// RunHealthChecks polls whether each entry is ready until ctx ends.
func (c *Clients) RunHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(c.options.HealthPeriod)
	defer ticker.Stop()
	for {
		for i, address := range c.options.Operators {
			c.entryReady[i].Store(c.isReady(ctx, address))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Clients) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
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

// pickEntry returns the next ready entry in turn, or the next entry if none is
// ready.
func (c *Clients) pickEntry() string {
	n := len(c.options.Entries)
	first := int(c.nextEntry.Add(1))
	for i := range n {
		if at := (first + i) % n; c.entryReady[at].Load() {
			return c.options.Entries[at]
		}
	}
	return c.options.Entries[first%n]
}

// Do sends a request, retries it if that is safe, and returns its record.
func (c *Clients) Do(ctx context.Context, q workload.Request) history.Record {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
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

// errorReply is an error reply of an entry.
type errorReply struct {
	status  int
	verdict string
	message string
}

func (e *errorReply) Error() string {
	return fmt.Sprintf("status %d (%s): %s", e.status, e.verdict, e.message)
}

// readErrorReply decodes the body of an error reply. If the body is invalid,
// verdict and message are empty.
func readErrorReply(resp *http.Response) *errorReply {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	var in struct {
		Error struct{ Message, Verdict string }
	}
	_ = json.Unmarshal(body, &in)
	return &errorReply{status: resp.StatusCode, verdict: in.Error.Verdict, message: in.Error.Message}
}

// isNotRun reports whether err guarantees that the request has not run: the
// entry refused it with that verdict, or no connection was established.
func isNotRun(err error) bool {
	var reply *errorReply
	if errors.As(err, &reply) {
		return reply.verdict == "not_run"
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isPermanent reports whether a retry would be refused as well.
func isPermanent(err error) bool {
	var reply *errorReply
	if !errors.As(err, &reply) {
		return false
	}
	switch reply.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func (c *Clients) newRequest(ctx context.Context, method, url string, q workload.Request, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't resend the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+q.Customer.Key)
	req.Header.Set("X-Request-Kind", q.Class.Kind)
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	return req, nil
}
