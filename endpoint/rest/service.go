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

// errTooLarge says that a reply is longer than answerLimit.
var errTooLarge = errors.New("reply is too large")

// ownHeaders are set from the call's fields, or belong to one connection.
var ownHeaders = []string{
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
		return endpoint.Reply{}, unreachable(written, req, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit+1))
	if err == nil && len(body) > answerLimit {
		err = errTooLarge
	}
	if err != nil {
		return endpoint.Reply{}, unreachable(true, req, err)
	}
	return endpoint.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// header returns the headers that a call sends.
func header(c endpoint.Call) http.Header {
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	for _, name := range ownHeaders {
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
