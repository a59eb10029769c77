package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Handler serves the engine over HTTP; package endpoint/rest is its client.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+protocol.PathAttach, e.serveAttach)
	mux.HandleFunc("POST "+protocol.PathCancel, jsonHandler(func(r *http.Request) (any, error) {
		httpjson.Drain(r)
		return struct{}{}, e.Cancel(r.Context(), r.URL.Query().Get("stream"))
	}))
	mux.HandleFunc("POST "+protocol.PathExport, jsonHandler(func(r *http.Request) (any, error) {
		httpjson.Drain(r)
		return e.Export(r.Context(), r.URL.Query().Get("stream"))
	}))
	mux.HandleFunc("POST "+protocol.PathImport, jsonHandler(e.serveImport))
	mux.HandleFunc("GET "+protocol.PathKV, jsonHandler(func(r *http.Request) (any, error) {
		return e.transferKV(r.Context(), r.URL.Query().Get("handle"))
	}))
	mux.HandleFunc("GET "+protocol.PathLoad, jsonHandler(func(r *http.Request) (any, error) {
		return e.Load(r.Context())
	}))
	mux.HandleFunc("GET "+protocol.PathEvents, jsonHandler(e.serveEvents))
	mux.HandleFunc("POST "+protocol.PathOrder, jsonHandler(e.serveOrder))
	mux.HandleFunc("GET "+protocol.PathState, jsonHandler(func(r *http.Request) (any, error) {
		return e.State(r.Context())
	}))
	mux.HandleFunc("GET /faults", jsonHandler(func(*http.Request) (any, error) { return e.Faults(), nil }))
	mux.HandleFunc("POST /faults", jsonHandler(e.serveFaults))
	return mux
}

// jsonHandler returns a handler that writes the result of f as JSON.
func jsonHandler(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := f(r)
		if err != nil {
			fail(w, err)
			return
		}
		httpjson.Write(w, value)
	}
}

// fail writes an error, or drops the connection if the error simulates a
// crashed process or a reset connection, or the request was cancelled.
func fail(w http.ResponseWriter, err error) {
	if errors.Is(err, errCrashed) || errors.Is(err, errConnectionReset) || errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
	httpjson.WriteError(w, err)
}

func (e *Engine) serveImport(r *http.Request) (any, error) {
	var kv endpoint.KV
	if err := httpjson.Read(r, &kv); err != nil {
		return nil, err
	}
	name, err := e.Import(r.Context(), kv)
	return protocol.ImportAnswer{Name: name}, err
}

func (e *Engine) serveEvents(r *http.Request) (any, error) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "from: %w", err)
	}
	return e.CacheEvents(r.Context(), from)
}

func (e *Engine) serveOrder(r *http.Request) (any, error) {
	var o endpoint.Order
	if err := httpjson.Read(r, &o); err != nil {
		return nil, err
	}
	return struct{}{}, e.Order(r.Context(), o)
}

// serveFaults changes the faults in the body and leaves the others as they are.
func (e *Engine) serveFaults(r *http.Request) (any, error) {
	f := e.Faults()
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	e.SetFaults(f)
	return f, nil
}

func (e *Engine) serveAttach(w http.ResponseWriter, r *http.Request) {
	httpjson.Drain(r)
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		fail(w, verdict.New(verdict.NotRun, verdict.CodeInvalid, "from: %w", err))
		return
	}
	s, err := e.Attach(r.Context(), q.Get("stream"), from)
	if err != nil {
		fail(w, err)
		return
	}
	serveStream(w, r, s)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body protocol.GenerateBody
	if err := httpjson.Read(r, &body); err != nil {
		fail(w, err)
		return
	}
	request := body.Request()
	if request.Version == "" {
		request.Version = e.servedVersion(request.Model)
	}
	s, err := e.Generate(r.Context(), request)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set(protocol.HeaderRequest, request.RequestID)
	w.Header().Set(protocol.HeaderAttempt, request.AttemptID)
	w.Header().Set(protocol.HeaderVersion, request.Version)
	if body.Stream {
		serveStream(w, r, s)
		return
	}
	serveComplete(w, r, s)
}

// servedVersion returns the version that serves requests for a model without a
// version.
func (e *Engine) servedVersion(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.loaded {
		if m.Model == model {
			return m.Version
		}
	}
	return ""
}

// serveStream sends a stream as server-sent events. The stream continues when
// its reader disconnects.
func serveStream(w http.ResponseWriter, r *http.Request, s endpoint.Stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(protocol.HeaderStream, s.ID())
	flush := http.NewResponseController(w).Flush
	_ = flush()
	for {
		f, err := s.Next(r.Context())
		switch {
		case errors.Is(err, io.EOF):
			_, _ = io.WriteString(w, "data: "+protocol.Done+"\n\n")
			return
		case errors.Is(err, errCancelled), errors.Is(err, errExported):
			writeEvent(w, protocol.Chunk{Object: protocol.ObjectChunk, Error: httpjson.DetailOf(err)})
			return
		case err != nil:
			panic(http.ErrAbortHandler)
		}
		writeEvent(w, protocol.ChunkOf(f))
		if flush() != nil {
			return
		}
	}
}

func writeEvent(w io.Writer, c protocol.Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, _ = w.Write(event)
}

// serveComplete sends the complete answer at its end.
func serveComplete(w http.ResponseWriter, r *http.Request, s endpoint.Stream) {
	var text strings.Builder
	for {
		f, err := s.Next(r.Context())
		if err != nil {
			fail(w, err)
			return
		}
		text.WriteString(f.Text)
		if f.End {
			w.Header().Set(protocol.HeaderStream, s.ID())
			httpjson.Write(w, protocol.CompletionOf(f, text.String()))
			return
		}
	}
}
