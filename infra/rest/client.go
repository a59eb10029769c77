// Package rest is the client of a platform that speaks HTTP and JSON.
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

// answerLimit bounds an answer's body, in bytes.
const answerLimit = 64 << 20

// Client reaches a platform's services. It is safe for concurrent use.
//
// Reads may be repeated by net/http when a connection dies. Writes are sent
// once: one that failed before its first byte is verdict.NotRun, any other
// failure without an answer is verdict.MayHaveRun.
type Client struct {
	base      string
	timeout   time.Duration
	transport *sendonce.Transport
}

// New returns a client of the platform at baseURL, for example
// "http://127.0.0.1:7000". Every call ends after timeout. A nil dial connects
// over TCP.
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
		return unreachable(written, req, err)
	}
	return decode(resp, answer)
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
		return unreachable(written, req, err)
	}
	return decode(resp, answer)
}

func (c *Client) writeJSON(ctx context.Context, method, path string, value, answer any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s %s: %w", method, path, err)
	}
	return c.write(ctx, method, path, body, answer)
}

func unreachable(written bool, req *http.Request, err error) error {
	return verdict.New(sendonce.Verdict(written), verdict.CodeUnavailable, "%s %s: %w", req.Method, req.URL.Path, err)
}

// decode reads an answer. One that breaks off is verdict.MayHaveRun.
func decode(resp *http.Response, answer any) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return httpjson.ReadError(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer: %w", err)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "answer: %w", err)
	}
	return nil
}
