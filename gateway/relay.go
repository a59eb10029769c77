package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// maxBufferedBody is the maximum size, in bytes, of a body that is read
	// completely before the client gets its header. If the replica fails in the
	// middle of such a body, the request can still be sent to another one or
	// answered with an error.
	maxBufferedBody = 128 << 10
	// copyBufferSize is the size of the buffer for copying bodies, in bytes.
	copyBufferSize = 8 << 10
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// settledAfter is the time from its first event after which a stream is taken for
	// an answer on its prompt, and not suspected if its replica crashes.
	settledAfter = 250 * time.Millisecond
)

// relay relays an answer to the client. It returns the outcome to record for
// the replica, and an error if the answer can't be used.
func (x *exchange) relay(ctx context.Context, t *balance.Ticket, a *upstream.Answer, lastEvent string) (balance.Outcome, error) {
	reply := x.h.Dialect.DecodeReply(a.Status, a.Header)
	if isRefusal(reply, a.Status) {
		x.refusal = &refusal{replica: x.replica, status: a.Status, requestID: reply.RequestID, served: a.Served}
		if err := a.Discard(); err != nil {
			x.h.Log.WithField("request", x.req.ID).WithError(err).Debug("gateway: body of a refusal can't be read.")
		}
		return balance.Refused, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "replica %s refused with status %d", x.replica, a.Status).WithRetryAfter(x.retryAfterRefusal(a.Status))
	}
	x.mayHaveRun = true
	x.framing = a.Framing
	if x.route.Kind == config.Stream && a.Status < http.StatusMultipleChoices {
		return x.relayStream(ctx, t, a, lastEvent)
	}
	if promisesNotRun(a.Status) {
		x.countStart()
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "replica %s failed with status %d, without a claim that the request has not run", x.replica, a.Status)
	}
	if x.headerSent {
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "replica %s didn't resume the stream: status %d", x.replica, a.Status)
	}
	return x.relayAnswer(t, a)
}

// isRefusal reports whether an answer proves that its request has not run. A
// replica that has run it may fail with another status, whatever else it states.
func isRefusal(r Reply, status int) bool {
	switch {
	case status == http.StatusMisdirectedRequest:
		return true
	case status == http.StatusServiceUnavailable, status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return r.NotRun
	default:
		return false
	}
}

// promisesNotRun reports whether a status promises to a client that its request
// has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayAnswer relays an answer that is not a stream.
func (x *exchange) relayAnswer(t *balance.Ticket, a *upstream.Answer) (balance.Outcome, error) {
	x.countStart()
	outcome := balance.Answered
	if a.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	body, err := io.ReadAll(x.holding.reader(io.LimitReader(a, maxBufferedBody+1)))
	if err != nil {
		x.broken = quarantine.Beginning
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer of replica %s: %w", x.replica, err)
	}
	t.FirstTokenReceived()
	x.firstTokenForRoom()
	if a.Status < http.StatusMultipleChoices {
		x.settleWhole(a)
	} else {
		t.Unmeasured()
	}
	if outcome == balance.Failed && len(body) <= maxBufferedBody && x.mayRunAgain() {
		x.failedAnswer = &bufferedAnswer{replica: x.replica, version: x.version, answer: a, body: body}
		return outcome, verdict.New(verdict.Ran, verdict.CodeUnavailable, "replica %s failed with status %d", x.replica, a.Status)
	}
	if len(body) <= maxBufferedBody {
		return outcome, x.writeAnswer(a, body)
	}
	x.copyHeader(a)
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.writeHeader(a.Status)
	if _, err := x.w.Write(body); err != nil {
		return balance.Neutral, err
	}
	if _, err := io.CopyBuffer(writerOnly{x.w}, a, make([]byte, copyBufferSize)); err != nil {
		return balance.Neutral, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "rest of the answer of replica %s: %w", x.replica, err)
	}
	return outcome, nil
}

// settleWhole records that an answer has ended in order.
func (x *exchange) settleWhole(a *upstream.Answer) {
	if a.Framing == upstream.FramedByConnection {
		x.h.Quarantine.Ended(x.lastChoice.Replica, x.customerName(), x.sharedPartIDs())
		return
	}
	x.h.Quarantine.Answered(x.customerName(), x.sharedPartIDs())
}

// bufferedAnswer is a replica's answer with its complete body.
type bufferedAnswer struct {
	replica, version string
	answer           *upstream.Answer
	body             []byte
}

// writeAnswer writes an answer with its complete body to the client.
func (x *exchange) writeAnswer(a *upstream.Answer, body []byte) error {
	x.copyHeader(a)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writeHeader(a.Status)
	_, err := x.w.Write(body)
	return err
}

// writeFailedAnswer writes the failed answer of an earlier replica, because the
// retries got no better one.
func (x *exchange) writeFailedAnswer() error {
	x.replica, x.version = x.failedAnswer.replica, x.failedAnswer.version
	return x.writeAnswer(x.failedAnswer.answer, x.failedAnswer.body)
}

// writerOnly hides the ReadFrom method of a ResponseWriter, so that
// io.CopyBuffer writes bytes as they arrive.
type writerOnly struct{ io.Writer }

// mayRunAgain reports whether the route allows another attempt at a request
// that has run. The retry budget is checked by shouldRetry.
func (x *exchange) mayRunAgain() bool {
	return x.route.MayRepeat() && x.sends < max(1, x.route.Attempts)
}

// copyHeader copies the header of a replica's answer to the client's answer.
func (x *exchange) copyHeader(a *upstream.Answer) {
	h := x.w.Header()
	for name, values := range x.h.Dialect.ClientHeader(a.Header) {
		h[name] = values
	}
	if _, draining := x.h.drainingFor(); draining {
		h.Set("Connection", "close")
	}
}

// writeHeader sends the header to the client and bounds the time for writing
// the body.
func (x *exchange) writeHeader(status int) {
	x.status, x.headerSent = status, true
	control := http.NewResponseController(x.w)
	// Response writers in tests may not support deadlines.
	_ = control.SetWriteDeadline(x.clientDeadline.Add(writeSlack))
	x.w.WriteHeader(status)
}

// relayStream relays events as they arrive. If the stream is interrupted and
// the route allows it, the stream is resumed at another replica after its last
// complete event.
func (x *exchange) relayStream(ctx context.Context, t *balance.Ticket, a *upstream.Answer, lastEvent string) (balance.Outcome, error) {
	s := &streamCopy{x: x, t: t, a: a, lastEventID: lastEvent, resumes: lastEvent != ""}
	err := s.run()
	if err == nil {
		return balance.Answered, nil
	}
	if ctx.Err() != nil {
		return balance.Neutral, err
	}
	outcome := balance.Failed
	if s.lastEventID != "" && x.headerSent && !s.clientWriteFailed {
		if x.brokenByCrash(ctx) {
			outcome = balance.Crashed
		}
		err = x.resume(ctx, s, outcome, err)
	}
	return outcome, err
}

// resume continues a broken stream at another replica. outcome is that of the
// replica that broke it off.
func (x *exchange) resume(ctx context.Context, s *streamCopy, outcome balance.Outcome, cause error) error {
	if x.crashSuspect || !x.route.Resumable || x.sends >= max(1, x.route.Attempts) || !x.h.Retries.TryWithdraw(x.service) {
		return cause
	}
	s.t.End(outcome)
	s.a.Close()
	x.h.Recorder.Retried("resumed")
	x.h.Log.WithField("request", x.req.ID).WithField("after_event", s.lastEventID).WithError(cause).Info("gateway: stream resumes.")
	return x.attempt(ctx, s.lastEventID)
}

// streamCopy copies the events of one replica's answer to the client.
type streamCopy struct {
	x *exchange
	t *balance.Ticket
	a *upstream.Answer
	// lastEventID is the ID of the last event that was sent to the client.
	lastEventID string
	// resumes is set if the answer continues the stream of another replica.
	resumes bool
	// clientWriteFailed is set once a write to the client has failed, after
	// which the stream isn't resumed.
	clientWriteFailed bool
	splitter          eventSplitter
	// held is the length of the longest incomplete event so far.
	held int64
	// events is the number of complete events of this answer. begun is set after
	// the first of them that is no comment.
	events int
	begun  bool
	// awaited is how long the replica was waited for since begun was set. settled is
	// set once that is settledAfter, or the stream is whole.
	awaited time.Duration
	settled bool
}

// run copies events until the stream ends or fails.
func (s *streamCopy) run() (err error) {
	buf := make([]byte, copyBufferSize)
	defer func() {
		s.x.events += s.events
		s.x.broken = s.progressAt(err)
		s.x.partialEvent = len(s.splitter.remainder())
	}()
	for {
		began := time.Now()
		n, err := s.a.Read(buf)
		if s.begun {
			s.awaited += time.Since(began)
		}
		s.splitter.feed(buf[:n])
		if eventErr := s.writeEvents(); eventErr != nil {
			return eventErr
		}
		if err := s.holdRemainder(); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "event of replica %s: %w", s.x.replica, err)
		}
		if len(s.splitter.remainder()) > maxEventBytes {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream of replica %s: event without an end", s.x.replica)
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream of replica %s: %w", s.x.replica, err)
		}
	}
}

// progressAt returns how far the stream had come when it broke off with an error.
func (s *streamCopy) progressAt(err error) quarantine.Progress {
	switch {
	case err == nil, s.clientWriteFailed:
		return quarantine.Settled
	case !s.begun:
		return quarantine.Beginning
	case !s.settled:
		return quarantine.Begun
	default:
		return quarantine.Settled
	}
}

// settle records that the replica has not crashed on the prompt. A process that
// crashes as it begins an answer may have sent its first events.
func (s *streamCopy) settle() {
	if s.settled {
		return
	}
	s.settled = true
	s.x.h.Quarantine.Answered(s.x.customerName(), s.x.sharedPartIDs())
}

// holdRemainder counts the bytes of the event that has not arrived completely.
func (s *streamCopy) holdRemainder() error {
	more := int64(len(s.splitter.remainder())) - s.held
	if more <= 0 {
		return nil
	}
	s.held += more
	return s.x.holding.add(more)
}

// writeEvents sends the complete events that have arrived to the client. It fails
// at bytes that are not the next event, and if the client can't be written to.
func (s *streamCopy) writeEvents() error {
	before := s.events
	err := s.writeArrived()
	s.t.EventsReceived(s.events - before)
	if s.events == before || s.clientWriteFailed {
		return err
	}
	if flushErr := http.NewResponseController(s.x.w).Flush(); flushErr != nil {
		s.clientWriteFailed = true
		return flushErr
	}
	return err
}

// writeArrived writes the complete events that have arrived.
func (s *streamCopy) writeArrived() error {
	for event := s.splitter.next(); event != nil; event = s.splitter.next() {
		if err := checkEvent(event, s.lastEventID, s.resumes && s.events == 0); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream of replica %s: %w", s.x.replica, err)
		}
		if !s.begun && !isComment(event) {
			s.begun = true
		}
		if s.awaited >= settledAfter {
			s.settle()
		}
		s.writeHeader()
		if _, err := s.x.w.Write(event); err != nil {
			s.clientWriteFailed = true
			return err
		}
		if id := eventID(event); id != "" {
			s.lastEventID = id
		}
		s.events++
	}
	return nil
}

// writeHeader counts the request as started and sends the header, unless the
// client already has it.
func (s *streamCopy) writeHeader() {
	s.x.countStart()
	s.t.FirstTokenReceived()
	s.x.firstTokenForRoom()
	if s.x.headerSent {
		return
	}
	s.x.copyHeader(s.a)
	s.x.w.Header().Del("Content-Length")
	s.x.writeHeader(s.a.Status)
	s.x.firstEventLatency = time.Since(s.x.arrived)
	s.x.h.Recorder.FirstToken(s.x.route.Name, s.x.firstEventLatency)
}

// finish ends a stream whose replica has sent its last byte. Without an error
// of the connection, only the events show whether the replica was done.
func (s *streamCopy) finish() error {
	rest := s.splitter.remainder()
	if len(bytes.Trim(rest, "\r\n")) > 0 {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream of replica %s ended within an event", s.x.replica)
	}
	if s.events == 0 && s.a.Framing == upstream.FramedByConnection {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream of replica %s ended before its first event", s.x.replica)
	}
	if s.begun && !s.settled {
		s.settled = true
		s.x.settleWhole(s.a)
	}
	s.writeHeader()
	if len(rest) > 0 {
		if _, err := s.x.w.Write(rest); err != nil {
			s.clientWriteFailed = true
			return err
		}
	}
	return nil
}
