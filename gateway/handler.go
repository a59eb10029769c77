package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/liveness"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollout"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/room"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// maxConfigAge is the maximum age of a configuration at which a request may
	// be denied permanently. A change is in force within two seconds of its
	// acknowledgement, and the feed confirms the configuration at least every
	// twelve seconds.
	maxConfigAge = 15 * time.Second
	// retryAfterTransient is the Retry-After of failures that end soon, such as
	// a configuration that is not loaded yet.
	retryAfterTransient = 500 * time.Millisecond
	// maxLoadWait is the maximum time that a request waits for a starting
	// process to load its state. If the client states a timeout, the request
	// waits at most the client timeout divided by loadWaitDivisor.
	maxLoadWait     = 700 * time.Millisecond
	loadWaitDivisor = 8
	// A request is delayed by its customer's limit for at most the minimum
	// latency objective divided by limitDelayDivisor. The maximum is the same
	// for all kinds of request: with a longer one, requests that tolerate delay
	// would take the units that urgent ones need. Where limits are ordered by urgency,
	// package quota uses an eighth of the request's own objective instead.
	limitDelayDivisor = 4
	// defaultBodyBytes is the maximum size of a body if the configuration sets
	// none.
	defaultBodyBytes = 8 << 20
	// writeSlack is the time after the deadline of a request in which its
	// answer may still be written to a slow client.
	writeSlack = 2 * time.Second
)

// Deps are the dependencies of a Handler.
type Deps struct {
	Dialect Dialect
	Config  *config.Holder
	// ConfigAge and RegistryAge return the time since the configuration and the
	// registry were last confirmed to be up to date, and false before they were
	// first read.
	ConfigAge   func() (time.Duration, bool)
	RegistryAge func() (time.Duration, bool)
	Balancer    *balance.GlobalBalancer
	Pool        *upstream.Pool
	Liveness    *liveness.Watcher
	Quarantine  *quarantine.Set
	Throttle    *throttle.Throttle
	Limiter     *quota.GlobalLimiter
	Retries     *quota.RetryBudget
	Usage       *usage.Counter
	// Room returns the admission control of a service, or nil for services without
	// it. It may be nil.
	Room func(s config.Service) *room.Controller
	// Rollouts says which versions requests may be sent to. It may be nil.
	Rollouts *rollout.Gate
	Log      *logrus.Entry
	Recorder Recorder
	// Loaded holds channels that are closed when the state that requests depend
	// on has been read for the first time. Earlier requests wait for them.
	Loaded []<-chan struct{}
}

// Recorder counts the outcomes of requests. Implementations must not block and
// must be safe for concurrent use.
type Recorder interface {
	// Ended is called once for each request.
	Ended(route, outcome string, status int, took time.Duration)
	// FirstToken is called for the first event of a stream.
	FirstToken(route string, took time.Duration)
	// Retried is called for each retry.
	Retried(reason string)
	// Stated is called for each answer that states something about its replica,
	// such as "leaving". known is set if the entry knew that before.
	Stated(replica, statement string, known bool)
}

// Handler forwards requests to replicas. It is safe for concurrent use.
type Handler struct {
	Deps
	// drain is nil until the drain begins.
	drain    atomic.Pointer[drainTimes]
	inFlight atomic.Int64
	memory   *memory
	// requestsEnd ends, by a call of endRequests, when a drain ends all requests.
	requestsEnd context.Context
	endRequests context.CancelFunc
}

// New returns a Handler.
func New(d Deps) *Handler {
	h := &Handler{Deps: d, memory: newMemory()}
	h.requestsEnd, h.endRequests = context.WithCancel(context.Background())
	return h
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// exchange is the state of one request. Only the goroutine that serves the
// request uses it.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	req      Request
	cfg      *config.Configuration
	route    *config.Route
	customer *config.Customer
	service  string
	body     []byte
	// holding is the memory that the request and its answers hold.
	holding holding
	arrived time.Time
	// clientDeadline is the time at which the client stops waiting. deadline is
	// the earlier of clientDeadline and the end of the route's timeout.
	clientDeadline, deadline time.Time
	// units is the number of units that the request counts against its
	// customer's limit, and limitDecision the result of their reservation.
	units         float64
	limitDecision quota.Decision
	// room is the state of the request for the admission control of its service.
	room roomState
	// startCounted is set once the usage counter has counted the request as
	// started.
	startCounted bool
	// mayHaveRun is set once the request may have run at some replica.
	mayHaveRun bool
	// sends is the number of replicas that may have received the request.
	sends int
	// tried holds the IDs of the replicas that the request was offered to.
	tried      map[string]bool
	lastChoice balance.Choice
	// pass is the decision on the versions that the last attempt may use.
	pass rollout.Pass
	// triedNew is set if an attempt was for a version that isn't proved.
	triedNew         bool
	replica, version string
	// permit is the decision on the last choice by the limit of its replica.
	permit throttle.Decision
	// failedAnswer is the answer of a replica that ran the request and failed.
	// It is relayed to the client if no retry gets a better one.
	failedAnswer *bufferedAnswer
	// framing is that of the last answer that was relayed, events the number of
	// complete events relayed, and partialEvent the number of bytes of the last
	// answer after its last complete event.
	framing              upstream.Framing
	events, partialEvent int
	// broken is how far the answer had come while an attempt whose answer broke off
	// is handled, else Settled. crashSuspect is set once a replica crashed with an
	// answer that wasn't settled, and the request may have caused that.
	broken       quarantine.Progress
	crashSuspect bool
	// onTrial is set if the request was admitted although its parts are banned.
	onTrial bool
	// stated is what the last answer stated about its replica. knownLeaving is
	// set if the entry knew before that the replica is leaving.
	stated       Reply
	knownLeaving bool
	// refusal describes the last answer that stated that the request has not
	// run, nil if there was none.
	refusal *refusal
	// firstEventLatency is the time from the arrival of the request to the
	// first event of a stream.
	firstEventLatency time.Duration
	// headerSent is set once the answer's header was sent to the client, or the
	// client has disconnected.
	headerSent bool
	status     int
}

// refusal is an answer that states that the request has not run. requestID is
// the request that it names, empty if none, and served the number of requests that
// were sent on its connection before.
type refusal struct {
	replica   string
	status    int
	requestID string
	served    int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if _, draining := h.drainingFor(); draining {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.requestsEnd, func() { cancel(errDrainEnds) })()
	x := &exchange{h: h, w: w, r: r.WithContext(ctx), arrived: time.Now(), holding: holding{memory: h.memory}}
	defer x.holding.release()
	defer x.endRoom()
	err := x.admit()
	if err == nil {
		err = x.checkRoom()
	}
	if err == nil {
		err = x.forward()
	}
	if err != nil && errors.Is(context.Cause(ctx), errDrainEnds) {
		err = verdict.New(verdict.Of(err), verdict.CodeUnavailable, "%w: %w", errDrainEnds, err).WithRetryAfter(retryAfterDrain)
	}
	if err != nil && x.failedAnswer != nil && !x.headerSent && r.Context().Err() == nil {
		err = x.writeFailedAnswer()
	}
	x.finish(err)
}

// admit decides whether the request may be forwarded, by the configuration and
// the customer's limit but not by the state of the replicas.
func (x *exchange) admit() error {
	var err error
	if x.req, err = x.h.Dialect.DecodeRequest(x.r); err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "request: %w", err)
	}
	if x.req.ID == "" {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "request has no ID by which its answer could be told from others")
	}
	if since, _ := x.h.drainingFor(); since > drainAcceptPeriod {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "entry stops").WithRetryAfter(retryAfterDrain)
	}
	x.awaitLoaded()
	if x.cfg = x.h.Config.Current(); x.cfg == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no configuration yet").WithRetryAfter(retryAfterTransient)
	}
	if x.route = x.cfg.Route(x.r.Host, x.r.URL.EscapedPath()); x.route == nil {
		return x.deny(verdict.CodeNotFound, "no route for this host and path")
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	x.clientDeadline = x.deadline
	if x.req.ClientTimeout > 0 {
		x.clientDeadline = x.arrived.Add(x.req.ClientTimeout)
	}
	if x.clientDeadline.Before(x.deadline) || x.route.Timeout <= 0 {
		x.deadline = x.clientDeadline
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	x.service = x.route.Pick(rand.Float64())
	x.h.Retries.Deposit(x.service)
	return x.charge()
}

// awaitLoaded waits for a limited time until a process that has just started
// has loaded its state, which takes a few calls to the table.
func (x *exchange) awaitLoaded() {
	if x.loaded() {
		return
	}
	maxWait := maxLoadWait
	if x.req.ClientTimeout > 0 {
		maxWait = min(maxWait, x.req.ClientTimeout/loadWaitDivisor)
	}
	timer := time.NewTimer(maxWait)
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

// loaded reports whether all state that requests depend on has been read.
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

// authenticate sets the customer that the request's API key belongs to.
func (x *exchange) authenticate() error {
	if !x.cfg.RequiresKey() {
		return nil
	}
	x.customer = x.cfg.CustomerByKey(x.req.Key)
	if x.customer == nil && !x.route.Public {
		return x.deny(verdict.CodeUnauthorized, "key is not known")
	}
	return nil
}

// deny refuses a request permanently with the given code, or temporarily if the
// configuration may be out of date.
func (x *exchange) deny(code verdict.Code, reason string) error {
	if age, ok := x.h.ConfigAge(); !ok || age > maxConfigAge {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "%s, by a configuration that may be outdated", reason).WithRetryAfter(retryAfterTransient)
	}
	return verdict.New(verdict.NotRun, code, "%s", reason)
}

// readBody reads the body within the deadline, the size limit and the memory of
// the entry.
func (x *exchange) readBody() error {
	limit := x.cfg.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	x.holding.customer = x.customerName()
	control := http.NewResponseController(x.w)
	// Response writers in tests may not support deadlines.
	_ = control.SetReadDeadline(x.deadline)
	stop := context.AfterFunc(x.r.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	// A body that is longer than the limit fails when the limit is reached.
	body, err := x.holding.readAll(http.MaxBytesReader(x.w, x.r.Body, limit), min(x.r.ContentLength, limit+1))
	if stop() {
		_ = control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		x.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	code, wait := verdict.CodeInvalid, time.Duration(0)
	switch {
	case errors.As(err, &tooLarge):
		code = verdict.CodeTooLarge
	case errors.Is(err, errMemoryFull):
		code, wait = verdict.CodeUnavailable, retryAfterOverload
	case x.r.Context().Err() != nil:
		code = verdict.CodeCancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		code, wait = verdict.CodeDeadline, retryAfterTransient
	}
	return verdict.New(verdict.NotRun, code, "body: %w", err).WithRetryAfter(wait)
}

// charge reserves the request's units of its customer's limit and waits for the
// delay of the reservation.
func (x *exchange) charge() error {
	if x.customer == nil {
		return nil
	}
	tokens := x.req.PromptTokens + x.req.OutputTokens
	x.units = quota.Units(x.customer, x.req.TokensStated, tokens)
	x.limitDecision = x.h.Limiter.Reserve(x.r.Context(), x.customer.Name, quota.Request{
		Units: x.units, MaxDelay: x.cfg.MinLatencyObjectiveOfAll() / limitDelayDivisor,
		Urgency: x.route.Urgency, Objective: x.route.Objective, Remaining: x.deadline.Sub(x.arrived),
	})
	if !x.limitDecision.OK {
		return verdict.New(verdict.NotRun, verdict.CodeLimited, "customer %q is over its limit", x.customer.Name).WithRetryAfter(x.limitDecision.Delay)
	}
	if !ctxtime.Sleep(x.r.Context(), x.limitDecision.Delay) {
		return verdict.New(verdict.NotRun, verdict.CodeCancelled, "request ended while it waited for its limit")
	}
	return nil
}

// countStart counts the request as started in its customer's usage, once.
func (x *exchange) countStart() {
	if x.startCounted || x.customer == nil {
		return
	}
	x.startCounted = true
	x.h.Usage.CountStart(x.customer.Name)
}

// finish answers a request that failed, and logs and counts the outcome of
// every request.
func (x *exchange) finish(err error) {
	outcome := "answered"
	if err != nil {
		outcome = x.handleFailure(err)
	}
	x.log(outcome, err)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.h.Recorder.Ended(route, outcome, x.status, time.Since(x.arrived))
	if err != nil && x.headerSent {
		// Closes the connection, so that the client can tell that the answer is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
}

// handleFailure puts back the units of a request that has not run, writes the
// failure to the client if it can still get an answer, and returns the outcome.
func (x *exchange) handleFailure(err error) string {
	if x.limitDecision.OK && x.limitDecision.Local && !x.mayHaveRun {
		x.h.Limiter.Return(x.customer.Name, x.units)
	}
	if x.r.Context().Err() != nil && errors.Is(context.Cause(x.r.Context()), context.Canceled) {
		if !x.headerSent {
			x.headerSent = true // the client can't receive an answer any more
		}
		return "client left"
	}
	if x.headerSent {
		return "cut"
	}
	if x.mayHaveRun {
		err = verdict.Wrap(verdict.MayHaveRun, err)
	}
	x.status = writeFailure(x.w, err)
	if verdict.Of(err) == verdict.NotRun {
		return "refused"
	}
	return "failed"
}
