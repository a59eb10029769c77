// Package rest implements the interfaces of package infra as a client of a
// platform over HTTP and JSON. The messages are in package infra/protocol, and
// infra/standin serves the same interface.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/internal/sendonce"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 64 << 20

// Client provides the services of a platform. It is safe for concurrent use.
//
// net/http may repeat reads if a connection is lost. Writes are sent once: a
// failure before the first byte was written has verdict.NotRun, any other
// failure without an answer has verdict.MayHaveRun.
type Client struct {
	base      string
	timeout   time.Duration
	transport *sendonce.Transport
}

// New returns a client of the platform at baseURL, for example
// "http://127.0.0.1:7000". A call that takes longer than timeout fails. A nil
// dial connects over TCP.
func New(baseURL string, dial func(ctx context.Context, network, addr string) (net.Conn, error), timeout time.Duration) *Client {
	return &Client{
		base:      strings.TrimSuffix(baseURL, "/"),
		timeout:   timeout,
		transport: sendonce.New(dial),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

// Table returns the table service.
func (c *Client) Table() infra.Table { return table{c} }

// Objects returns the object store.
func (c *Client) Objects() infra.Objects { return objects{c} }

// HostList returns the host list.
func (c *Client) HostList() infra.HostList { return hostList{c} }

// Cloud returns the cloud API.
func (c *Client) Cloud() infra.Cloud { return cloud{c} }

// WeightStore returns the weight store.
func (c *Client) WeightStore() infra.WeightStore { return weightStore{c} }

// read sends a request that may be repeated and decodes its answer.
func (c *Client) read(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "GET %s: %w", path, err)
	}
	resp, written, err := c.transport.SendRepeatable(req)
	if err != nil {
		return transportError(written, req, err)
	}
	return decodeAnswer(resp, answer)
}

// write sends a request once and decodes its answer.
func (c *Client) write(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s %s: %w", method, path, err)
	}
	resp, written, err := c.transport.SendOnce(req)
	if err != nil {
		return transportError(written, req, err)
	}
	return decodeAnswer(resp, answer)
}

func (c *Client) writeJSON(ctx context.Context, method, path string, value, answer any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s %s: %w", method, path, err)
	}
	return c.write(ctx, method, path, body, answer)
}

func transportError(written bool, req *http.Request, err error) error {
	return verdict.New(sendonce.Verdict(written), verdict.CodeUnavailable, "%s %s: %w", req.Method, req.URL.Path, err)
}

// decodeAnswer reads an answer and closes its body. An incomplete answer is an
// error with verdict.MayHaveRun.
func decodeAnswer(resp *http.Response, answer any) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return httpjson.ReadError(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer: %w", err)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "answer: %w", err)
	}
	return nil
}
