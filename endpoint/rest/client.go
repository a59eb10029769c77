// Package rest implements the interfaces of package endpoint as a client of
// model engines and plain services over HTTP and JSON. It sends each call
// once and never repeats it. The messages are in package endpoint/protocol.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/internal/sendonce"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 64 << 20

// Client implements endpoint.Client. It is safe for concurrent use.
type Client struct {
	transport *sendonce.Transport
}

// NewClient returns a client that opens its connections with dial; nil dials
// over TCP.
func NewClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{transport: sendonce.New(dial)}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

// Engine implements endpoint.Client.
func (c *Client) Engine(addr string) endpoint.Engine {
	return &engine{client: c, base: "http://" + addr}
}

// Service implements endpoint.Client.
func (c *Client) Service(addr string) endpoint.Service {
	return &service{client: c, base: "http://" + addr}
}

// do sends a request once. A failure has verdict.NotRun if no byte was
// written, else verdict.MayHaveRun. An answer with a status other than 200 is
// returned as the error in its body.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, written, err := c.transport.SendOnce(req)
	if err != nil {
		return nil, transportError(written, req, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, httpjson.ReadError(resp)
	}
	return resp, nil
}

// call sends a request once and decodes its answer. If value is nil, the
// request has no body.
func (c *Client) call(ctx context.Context, method, url string, value, answer any) error {
	body, err := marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s %s: %w", method, url, err)
	}
	resp, err := c.do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return transportError(true, req, err)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "%s %s: %w", method, req.URL.Path, err)
	}
	return nil
}

func marshal(value any) (io.Reader, error) {
	if value == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "body: %w", err)
	}
	return bytes.NewReader(data), nil
}

func transportError(written bool, req *http.Request, err error) error {
	return verdict.New(sendonce.Verdict(written), verdict.CodeUnavailable, "%s %s: %w", req.Method, req.URL.Path, err)
}
