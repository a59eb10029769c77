package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// freshFor is how old the configuration may be for a request to be turned
	// away by it for good. A change is in force within two seconds of its
	// acknowledgement, and the feed confirms at least every twelve seconds.
	freshFor = 15 * time.Second
	// retrySoon is when a client may come back after a failure that is over
	// quickly, such as a configuration that is not known yet.
	retrySoon = 500 * time.Millisecond
	// acceptStopping is how long after a stop signal requests on connections
	// that clients keep open are served. Streams take seconds, and the process
	// is killed eight seconds after the signal.
	acceptStopping = 2500 * time.Millisecond
	// retryElsewhere is when a client may come back that other entries can
	// serve.
	retryElsewhere = 20 * time.Millisecond
	// longestLoad bounds how long a request waits for a process that has just
	// started, and loadPart which part of the client's patience that may take.
	longestLoad = 700 * time.Millisecond
	loadPart    = 8
	// shapingPart is the part of the tightest latency objective that a request
	// may wait for room in its customer's limit. It is the same for all kinds
	// of request: patient ones would else keep urgent ones out.
	shapingPart = 4
	// defaultBodyBytes bounds a body where the configuration does not.
	defaultBodyBytes = 8 << 20
	// writeSlack is how much longer than the request a client may take to
	// read its answer.
	writeSlack = 2 * time.Second
)

// Deps are what a Handler works with.
type Deps struct {
	Dialect Dialect
	Config  *config.Holder
	// ConfigAge and RegistryAge tell how long ago what is known was known to
	// be complete, and false before the first read.
	ConfigAge   func() (time.Duration, bool)
	RegistryAge func() (time.Duration, bool)
	Balancer    *balance.GlobalBalancer
	Pool        *upstream.Pool
	Limiter     *quota.GlobalLimiter
	Retries     *quota.RetryBudget
	Usage       *usage.Counter
	Log         *logrus.Entry
	Recorder    Recorder
	// Loaded are closed once what a request is decided by was read. A request
	// that comes before waits for them.
	Loaded []<-chan struct{}
}

// Recorder counts what became of requests. Implementations must not block.
type Recorder interface {
	// Ended is called once for each request.
	Ended(route, outcome string, status int, took time.Duration)
	// FirstToken is called for the first event of a stream.
	FirstToken(route string, took time.Duration)
	// Retried is called for each second try.
	Retried(reason string)
}

// Handler forwards requests. It is safe for concurrent use.
type Handler struct {
	Deps
	// draining is when a drain began, nil before.
	draining atomic.Pointer[time.Time]
	inside   atomic.Int64
}

// New returns a Handler.
func New(d Deps) *Handler { return &Handler{Deps: d} }

// Drain asks clients from now on to close their connections. Requests that
// come on them for a while are still served; later ones are refused, as there
// may not be time enough left for them.
func (h *Handler) Drain() {
	now := time.Now()
	h.draining.Store(&now)
}

// stopping says for how long a drain has gone on, and false before it.
func (h *Handler) stopping() (time.Duration, bool) {
	began := h.draining.Load()
	if began == nil {
		return 0, false
	}
	return time.Since(*began), true
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inside.Load()) }

// exchange is one request with what is known of it.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	req     Request
	cfg     *config.Configuration
	route   *config.Route
	owner   *config.Customer
	service string
	body    []byte
	arrived time.Time
	// patience is when the client leaves, deadline when the route's timeout
	// is over if that comes first.
	patience, deadline time.Time
	// asked is what the request counts against its customer's limit, taken what
	// became of it.
	asked float64
	taken quota.Decision
	// counted says that the request was counted as started.
	counted bool
	// mayHaveRun is set once the request may have run anywhere.
	mayHaveRun bool
	// sends counts the replicas that may have got the request.
	sends   int
	tried   map[string]bool
	last    balance.Choice
	replica string
	// spare is nil until a replica failed with an answer of its own.
	spare *spareAnswer
	// first is the time from arrival to the first event of a stream.
	first time.Duration
	// answered is set once the header went to the client.
	answered bool
	status   int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inside.Add(1)
	defer h.inside.Add(-1)
	if _, stopping := h.stopping(); stopping {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{h: h, w: w, r: r, arrived: time.Now()}
	err := x.admit()
	if err == nil {
		err = x.forward()
	}
	if err != nil && x.spare != nil && !x.answered && r.Context().Err() == nil {
		err = x.deliverSpare()
	}
	x.end(err)
}

// admit decides by the request alone whether it may be forwarded.
func (x *exchange) admit() error {
	var err error
	if x.req, err = x.h.Dialect.Decode(x.r); err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "request: %w", err)
	}
	if since, _ := x.h.stopping(); since > acceptStopping {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "entry stops").WithRetryAfter(retryElsewhere)
	}
	x.awaitLoaded()
	if x.cfg = x.h.Config.Current(); x.cfg == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no configuration yet").WithRetryAfter(retrySoon)
	}
	if x.route = x.cfg.Route(x.r.Host, x.r.URL.EscapedPath()); x.route == nil {
		return x.deny(verdict.CodeNotFound, "no route for this host and path")
	}
	if err := x.identify(); err != nil {
		return err
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	x.patience = x.deadline
	if x.req.ClientTimeout > 0 {
		x.patience = x.arrived.Add(x.req.ClientTimeout)
	}
	if x.patience.Before(x.deadline) || x.route.Timeout <= 0 {
		x.deadline = x.patience
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.service = x.route.Pick(rand.Float64())
	x.h.Retries.Deposit(x.service)
	return x.charge()
}

// awaitLoaded waits for a process that has just started to know its
// surroundings, which takes it a few calls of the store.
func (x *exchange) awaitLoaded() {
	if x.loaded() {
		return
	}
	most := longestLoad
	if x.req.ClientTimeout > 0 {
		most = min(most, x.req.ClientTimeout/loadPart)
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	for _, loaded := range x.h.Loaded {
		select {
		case <-loaded:
		case <-timer.C:
			return
		case <-x.r.Context().Done():
			return
		}
	}
}

func (x *exchange) loaded() bool {
	for _, loaded := range x.h.Loaded {
		select {
		case <-loaded:
		default:
			return false
		}
	}
	return true
}

// identify finds the customer that the request's key belongs to.
func (x *exchange) identify() error {
	if !x.cfg.RequiresKey() {
		return nil
	}
	x.owner = x.cfg.CustomerByKey(x.req.Key)
	if x.owner == nil && !x.route.Public {
		return x.deny(verdict.CodeUnauthorized, "key is not known")
	}
	return nil
}

// deny turns a request away for good, or for now where the configuration may
// be outdated.
func (x *exchange) deny(code verdict.Code, reason string) error {
	if age, known := x.h.ConfigAge(); !known || age > freshFor {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "%s, by a configuration that may be outdated", reason).WithRetryAfter(retrySoon)
	}
	return verdict.New(verdict.NotRun, code, "%s", reason)
}

func (x *exchange) readBody() error {
	limit := x.cfg.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil {
		x.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body: %w", err)
	}
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, "body: %w", err)
}

// charge counts the request against its customer's limit.
func (x *exchange) charge() error {
	if x.owner == nil {
		return nil
	}
	tokens := x.req.PromptTokens + x.req.OutputTokens
	x.asked = quota.Units(x.owner, x.req.TokensStated, tokens)
	x.taken = x.h.Limiter.Reserve(x.r.Context(), x.owner.Name, x.asked, x.cfg.MinLatencyObjectiveOfAll()/shapingPart)
	if !x.taken.OK {
		return verdict.New(verdict.NotRun, verdict.CodeLimited, "customer %q is over its limit", x.owner.Name).WithRetryAfter(x.taken.Delay)
	}
	if !ctxtime.Sleep(x.r.Context(), x.taken.Delay) {
		return verdict.New(verdict.NotRun, verdict.CodeCancelled, "client left while its request waited for its limit")
	}
	return nil
}

// started counts the request as one that began to run.
func (x *exchange) started() {
	if x.counted || x.owner == nil {
		return
	}
	x.counted = true
	x.h.Usage.Started(x.owner.Name)
}

// end answers a request that failed, and logs every request's outcome.
func (x *exchange) end(err error) {
	outcome := "answered"
	if err != nil {
		outcome = x.failed(err)
	}
	x.log(outcome, err)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.h.Recorder.Ended(route, outcome, x.status, time.Since(x.arrived))
	if err != nil && x.answered {
		// The client must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) failed(err error) string {
	if x.taken.OK && x.taken.Local && !x.mayHaveRun {
		x.h.Limiter.Return(x.owner.Name, x.asked)
	}
	if x.r.Context().Err() != nil && errors.Is(context.Cause(x.r.Context()), context.Canceled) {
		if !x.answered {
			x.answered = true // nobody is there to be answered
		}
		return "client left"
	}
	if x.answered {
		return "cut"
	}
	if x.mayHaveRun {
		err = verdict.Wrap(verdict.MayHaveRun, err)
	}
	x.status = fail(x.w, err)
	if verdict.Of(err) == verdict.NotRun {
		return "refused"
	}
	return "failed"
}

func (x *exchange) log(outcome string, err error) {
	f := logrus.Fields{"request": x.req.ID, "outcome": outcome, "status": x.status, "ms": time.Since(x.arrived).Milliseconds()}
	if x.route != nil {
		f["route"], f["configuration"] = x.route.Name, x.cfg.Version
	}
	if x.owner != nil {
		f["customer"], f["units"] = x.owner.Name, x.asked
		if x.taken.Local || x.taken.Owner != "" {
			f["limit_kept_by"] = cmp.Or(x.taken.Owner, "own part")
		}
	}
	if x.replica != "" {
		f["replica"], f["sends"] = x.replica, x.sends
		x.choiceFields(f)
	}
	if x.first > 0 {
		f["first_ms"] = x.first.Milliseconds()
	}
	if err != nil {
		ageField(f, "configuration_age_ms", x.h.ConfigAge)
		if wait := verdict.RetryAfterOf(err); wait > 0 {
			f["retry_after_ms"] = wait.Milliseconds()
		}
		x.h.Log.WithFields(f).WithError(err).WithField("verdict", verdict.Of(err).String()).Warn("gateway: request ended.")
		return
	}
	x.h.Log.WithFields(f).Info("gateway: request ended.")
}

// ageField adds the age of what a decision was made from.
func ageField(f logrus.Fields, name string, age func() (time.Duration, bool)) {
	if d, known := age(); known {
		f[name] = d.Milliseconds()
	}
}
