package rest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxLineBytes bounds the length of one line of a stream.
const maxLineBytes = 1 << 20

var (
	dataField = []byte("data:")
	doneData  = []byte(protocol.Done)
	errNoEnd  = errors.New("stream ended without an end mark")
)

// stream reads server-sent events. It is used by one goroutine.
type stream struct {
	id     string
	body   io.ReadCloser
	cancel context.CancelFunc
	lines  *bufio.Scanner
	decoder
	ended bool
	err   error
	// watched is the context whose end interrupts the stream; unwatch detaches
	// it from the stream.
	watched context.Context
	unwatch func() bool
}

func newStream(resp *http.Response, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(resp.Body)
	lines.Split(splitCompleteLines)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &stream{id: resp.Header.Get(protocol.HeaderStream), body: resp.Body, cancel: cancel, lines: lines}
}

// splitCompleteLines is a bufio.SplitFunc that drops a last line without a
// newline, since the connection was lost within it.
func splitCompleteLines(data []byte, _ bool) (int, []byte, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return 0, nil, nil
	}
	return end + 1, data[:end], nil
}

// ID implements endpoint.Stream.
func (s *stream) ID() string { return s.id }

// Next implements endpoint.Stream. The end of ctx interrupts the stream; Attach
// can continue it.
func (s *stream) Next(ctx context.Context) (endpoint.Frame, error) {
	if s.err != nil {
		return endpoint.Frame{}, s.err
	}
	if s.ended {
		return endpoint.Frame{}, io.EOF
	}
	s.watch(ctx)
	f, err := s.read()
	if err != nil {
		if cause := ctx.Err(); cause != nil {
			err = verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "stream: %w", cause)
		}
		s.err = err
		return endpoint.Frame{}, err
	}
	s.ended = f.End
	return f, nil
}

// watch interrupts the stream when ctx ends. Callers of Next usually pass the
// same context for each frame, in which case watch has nothing to do.
func (s *stream) watch(ctx context.Context) {
	if ctx == s.watched {
		return
	}
	if s.unwatch != nil {
		s.unwatch()
	}
	s.watched = ctx
	s.unwatch = context.AfterFunc(ctx, s.cancel)
}

func (s *stream) read() (endpoint.Frame, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return endpoint.Frame{}, streamError(errNoEnd)
		}
		return s.decode(data)
	}
	if err := s.lines.Err(); err != nil {
		return endpoint.Frame{}, streamError(err)
	}
	return endpoint.Frame{}, streamError(errNoEnd)
}

func streamError(err error) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream: %w", err)
}

// Close implements endpoint.Stream.
func (s *stream) Close() error {
	if s.unwatch != nil {
		s.unwatch()
	}
	s.cancel()
	return s.body.Close()
}
