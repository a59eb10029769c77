package rest

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// errTooLarge is the error of replies longer than maxAnswerBytes.
var errTooLarge = errors.New("reply is too large")

// reservedHeaders are the headers that are not copied from a call: they are set
// from its fields, or apply to a single connection (hop-by-hop).
var reservedHeaders = []string{
	protocol.HeaderKey, protocol.HeaderAttempt, protocol.HeaderFence,
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// service is a plain service at one address.
type service struct {
	client *Client
	base   string
}

// Call implements endpoint.Service.
func (s *service) Call(ctx context.Context, c endpoint.Call) (endpoint.Reply, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, s.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return endpoint.Reply{}, verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s: %w", c.Method, err)
	}
	req.Header = header(c)
	resp, written, err := s.client.transport.SendOnce(req)
	if err != nil {
		return endpoint.Reply{}, transportError(written, req, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLarge
	}
	if err != nil {
		return endpoint.Reply{}, transportError(true, req, err)
	}
	return endpoint.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// header returns the headers of the request for a call.
func header(c endpoint.Call) http.Header {
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	for _, name := range reservedHeaders {
		h.Del(name)
	}
	if c.Key != "" {
		h.Set(protocol.HeaderKey, c.Key)
	}
	if c.AttemptID != "" {
		h.Set(protocol.HeaderAttempt, c.AttemptID)
	}
	if c.Fence > 0 {
		h.Set(protocol.HeaderFence, strconv.FormatUint(c.Fence, 10))
	}
	return h
}

// Lookup implements endpoint.Service.
func (s *service) Lookup(ctx context.Context, key string) (endpoint.Reply, bool, error) {
	var answer protocol.LookupAnswer
	path := protocol.PathLookup + "?" + url.Values{"key": {key}}.Encode()
	err := s.client.call(ctx, http.MethodGet, s.base+path, nil, &answer)
	if verdict.CodeOf(err) == verdict.CodeNotFound {
		return endpoint.Reply{}, false, verdict.Wrap(verdict.NotRun, endpoint.ErrNoLookup)
	}
	if err != nil || !answer.Found || answer.Reply == nil {
		return endpoint.Reply{}, false, err
	}
	return *answer.Reply, true, nil
}
