package standin

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 4 << 20

// Handler serves the service over HTTP; package endpoint/rest is its client.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathLookup, jsonHandler(s.serveLookup))
	mux.HandleFunc("GET /faults", jsonHandler(func(*http.Request) (any, error) { return s.Faults(), nil }))
	mux.HandleFunc("POST /faults", jsonHandler(s.serveFaults))
	mux.HandleFunc("GET /executions", jsonHandler(func(*http.Request) (any, error) { return s.Counts(), nil }))
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveLookup(r *http.Request) (any, error) {
	reply, found, err := s.Lookup(r.Context(), r.URL.Query().Get("key"))
	if errors.Is(err, endpoint.ErrNoLookup) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "service has no lookup")
	}
	return protocol.LookupAnswer{Found: found, Reply: &reply}, err
}

// serveFaults changes the faults in the body and leaves the others as they are.
func (s *Service) serveFaults(r *http.Request) (any, error) {
	f := s.Faults()
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	s.SetFaults(f)
	return f, nil
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		fail(w, verdict.New(verdict.NotRun, verdict.CodeInvalid, "body: %w", err))
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get(protocol.HeaderFence), 10, 64)
	reply, err := s.Call(r.Context(), endpoint.Call{
		Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body,
		Key: r.Header.Get(protocol.HeaderKey), AttemptID: r.Header.Get(protocol.HeaderAttempt), Fence: fence,
	})
	if err != nil {
		fail(w, err)
		return
	}
	maps.Copy(w.Header(), reply.Header)
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
