package rest

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// emptyAnswer is the JSON answer to calls that return only an error.
type emptyAnswer struct{}

// engine is a model engine at one address.
type engine struct {
	client *Client
	base   string
}

// Generate implements endpoint.Engine. The context bounds only the start; the
// stream stays open until Close.
func (e *engine) Generate(ctx context.Context, r endpoint.GenerateRequest) (endpoint.Stream, error) {
	return e.open(ctx, protocol.PathGenerate, protocol.BodyOf(r))
}

// Attach implements endpoint.Engine. The context bounds only the start; the
// stream stays open until Close.
func (e *engine) Attach(ctx context.Context, streamID string, from int) (endpoint.Stream, error) {
	q := url.Values{"stream": {streamID}, "from": {strconv.Itoa(from)}}
	return e.open(ctx, protocol.PathAttach+"?"+q.Encode(), nil)
}

// open starts a stream. The end of ctx aborts only the start: once the answer
// has begun, the connection stays open until Close.
func (e *engine) open(ctx context.Context, path string, value any) (endpoint.Stream, error) {
	body, err := marshal(value)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		// The AfterFunc below runs in its own goroutine, so the request could
		// be sent before it is cancelled.
		return nil, verdict.New(verdict.NotRun, verdict.CodeCancelled, "%s: %w", path, err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	req, err := http.NewRequestWithContext(streamCtx, http.MethodPost, e.base+path, body)
	if err != nil {
		cancel()
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s: %w", path, err)
	}
	resp, err := e.client.do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	if !stop() {
		_ = resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "%s: %w", path, context.Cause(ctx))
	}
	return newStream(resp, cancel), nil
}

// Cancel implements endpoint.Engine.
func (e *engine) Cancel(ctx context.Context, streamID string) error {
	return e.client.call(ctx, http.MethodPost, e.base+protocol.PathCancel+streamQuery(streamID), nil, &emptyAnswer{})
}

// Export implements endpoint.Engine.
func (e *engine) Export(ctx context.Context, streamID string) (endpoint.KV, error) {
	var kv endpoint.KV
	err := e.client.call(ctx, http.MethodPost, e.base+protocol.PathExport+streamQuery(streamID), nil, &kv)
	return kv, err
}

// Import implements endpoint.Engine.
func (e *engine) Import(ctx context.Context, kv endpoint.KV) (string, error) {
	var answer protocol.ImportAnswer
	err := e.client.call(ctx, http.MethodPost, e.base+protocol.PathImport, kv, &answer)
	return answer.Name, err
}

// Load implements endpoint.Engine.
func (e *engine) Load(ctx context.Context) (endpoint.Load, error) {
	var load endpoint.Load
	err := e.client.call(ctx, http.MethodGet, e.base+protocol.PathLoad, nil, &load)
	return load, err
}

// CacheEvents implements endpoint.Engine.
func (e *engine) CacheEvents(ctx context.Context, from uint64) (endpoint.CacheEvents, error) {
	var events endpoint.CacheEvents
	q := url.Values{"from": {strconv.FormatUint(from, 10)}}
	err := e.client.call(ctx, http.MethodGet, e.base+protocol.PathEvents+"?"+q.Encode(), nil, &events)
	return events, err
}

// Order implements endpoint.Engine.
func (e *engine) Order(ctx context.Context, o endpoint.Order) error {
	return e.client.call(ctx, http.MethodPost, e.base+protocol.PathOrder, o, &emptyAnswer{})
}

// State implements endpoint.Engine.
func (e *engine) State(ctx context.Context) (endpoint.State, error) {
	var state endpoint.State
	err := e.client.call(ctx, http.MethodGet, e.base+protocol.PathState, nil, &state)
	return state, err
}

func streamQuery(streamID string) string {
	return "?" + url.Values{"stream": {streamID}}.Encode()
}
