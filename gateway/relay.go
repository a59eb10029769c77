package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// heldBody is the largest body, in bytes, that is read whole before the
	// client gets its header, so that a replica that breaks off can still be
	// replaced or its failure told.
	heldBody = 128 << 10
	// copyBuffer is the size of the buffer for bodies, in bytes.
	copyBuffer = 8 << 10
)

// take passes an answer on to the client, or says why it is of no use.
func (x *exchange) take(ctx context.Context, t *balance.Ticket, a *upstream.Answer, lastEvent string) (balance.Outcome, error) {
	reply := x.h.Dialect.Reply(a.Status, a.Header)
	if reply.NotRun || a.Status == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, a)
		return balance.Refused, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "replica %s refused with status %d", x.replica, a.Status).WithRetryAfter(retryFull)
	}
	x.mayHaveRun = true
	if x.route.Kind == config.Stream && a.Status < http.StatusMultipleChoices {
		return x.stream(ctx, t, a, lastEvent)
	}
	return x.whole(t, a)
}

// whole passes on an answer that is no stream.
func (x *exchange) whole(t *balance.Ticket, a *upstream.Answer) (balance.Outcome, error) {
	x.started()
	outcome := balance.Fine
	if a.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	body, err := io.ReadAll(io.LimitReader(a, heldBody+1))
	if err != nil {
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer of replica %s: %w", x.replica, err)
	}
	t.Started()
	if outcome == balance.Failed && len(body) <= heldBody && x.mayTryAnother() {
		x.spare = &spareAnswer{replica: x.replica, answer: a, body: body}
		return outcome, verdict.New(verdict.Ran, verdict.CodeUnavailable, "replica %s failed with status %d", x.replica, a.Status)
	}
	if len(body) <= heldBody {
		return outcome, x.deliver(a, body)
	}
	x.header(a)
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.begin(a.Status)
	if _, err := x.w.Write(body); err != nil {
		return balance.Neutral, err
	}
	if _, err := io.CopyBuffer(writerOnly{x.w}, a, make([]byte, copyBuffer)); err != nil {
		return balance.Neutral, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "rest of the answer of replica %s: %w", x.replica, err)
	}
	return outcome, nil
}

// spareAnswer is a failure of a replica's own, which the client gets if no
// other replica has a better answer.
type spareAnswer struct {
	replica string
	answer  *upstream.Answer
	body    []byte
}

// deliver passes on an answer that was read whole.
func (x *exchange) deliver(a *upstream.Answer, body []byte) error {
	x.header(a)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.begin(a.Status)
	_, err := x.w.Write(body)
	return err
}

// deliverSpare passes on the failure that was kept when another replica was
// tried in vain.
func (x *exchange) deliverSpare() error {
	x.replica = x.spare.replica
	return x.deliver(x.spare.answer, x.spare.body)
}

// writerOnly hides other methods, so that bytes are passed on as they come.
type writerOnly struct{ io.Writer }

// mayTryAnother says whether a failure of a replica's own is worth another
// try. The budget is asked for by again.
func (x *exchange) mayTryAnother() bool {
	return x.route.MayRepeat() && x.sends < max(1, x.route.Attempts)
}

// header copies the header of a replica's answer.
func (x *exchange) header(a *upstream.Answer) {
	h := x.w.Header()
	for name, values := range x.h.Dialect.Answer(a.Header) {
		h[name] = values
	}
	if _, stopping := x.h.stopping(); stopping {
		h.Set("Connection", "close")
	}
}

func (x *exchange) begin(status int) {
	x.status, x.answered = status, true
	control := http.NewResponseController(x.w)
	// Not every writer of a test has deadlines.
	_ = control.SetWriteDeadline(x.patience.Add(writeSlack))
	x.w.WriteHeader(status)
}

// stream passes on a series of events as they arrive. A stream that breaks off
// goes on at another replica after its last whole event where the route
// allows it.
func (x *exchange) stream(ctx context.Context, t *balance.Ticket, a *upstream.Answer, lastEvent string) (balance.Outcome, error) {
	s := &streamCopy{x: x, t: t, a: a, last: lastEvent}
	err := s.run()
	if err == nil {
		return balance.Fine, nil
	}
	if ctx.Err() != nil {
		return balance.Neutral, err
	}
	if s.last != "" && x.answered && !s.clientGone {
		err = x.resume(ctx, s, err)
	}
	return balance.Failed, err
}

// resume goes on with a broken stream.
func (x *exchange) resume(ctx context.Context, s *streamCopy, cause error) error {
	if !x.route.Resumable || x.sends >= max(1, x.route.Attempts) || !x.h.Retries.TryWithdraw(x.service) {
		return cause
	}
	s.t.End(balance.Failed)
	s.a.Close()
	x.h.Recorder.Retried("resumed")
	x.h.Log.WithField("request", x.req.ID).WithField("after_event", s.last).WithError(cause).Info("gateway: stream resumes.")
	return x.attempt(ctx, s.last)
}

// streamCopy copies the events of one replica's answer.
type streamCopy struct {
	x *exchange
	t *balance.Ticket
	a *upstream.Answer
	// last is the ID of the last event that was passed on.
	last       string
	clientGone bool
	split      eventSplitter
}

func (s *streamCopy) run() error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := s.a.Read(buf)
		s.split.feed(buf[:n])
		if passErr := s.pass(); passErr != nil {
			return passErr
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream of replica %s: %w", s.x.replica, err)
		}
	}
}

// pass sends the whole events that have arrived to the client.
func (s *streamCopy) pass() error {
	wrote := false
	for event := s.split.next(); event != nil; event = s.split.next() {
		s.begin()
		if _, err := s.x.w.Write(event); err != nil {
			s.clientGone = true
			return err
		}
		if id := eventID(event); id != "" {
			s.last = id
		}
		wrote = true
	}
	if !wrote {
		return nil
	}
	if err := http.NewResponseController(s.x.w).Flush(); err != nil {
		s.clientGone = true
		return err
	}
	return nil
}

// begin sends the header with the first event.
func (s *streamCopy) begin() {
	s.x.started()
	s.t.Started()
	if s.x.answered {
		return
	}
	s.x.header(s.a)
	s.x.w.Header().Del("Content-Length")
	s.x.begin(s.a.Status)
	s.x.first = time.Since(s.x.arrived)
	s.x.h.Recorder.FirstToken(s.x.route.Name, s.x.first)
}

// finish passes on what follows the last event, once the stream has ended as
// its replica meant it to.
func (s *streamCopy) finish() error {
	s.begin()
	if rest := s.split.rest(); len(rest) > 0 {
		if _, err := s.x.w.Write(rest); err != nil {
			s.clientGone = true
			return err
		}
	}
	return nil
}
