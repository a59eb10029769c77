package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/internal/response"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Client calls the operators' interface of one entry host. Its errors carry an
// execution verdict: that of the server, or MayHaveRun if no answer of the
// server arrived. A read changes nothing, so its errors carry NotRun instead of
// MayHaveRun. A Client is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a Client of the server at base ("http://ip:port"). If
// client is nil, it uses http.DefaultClient.
func NewClient(base, key string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{base: strings.TrimRight(base, "/"), key: key, http: client}
}

// List returns the heads of all templates.
func (c *Client) List(ctx context.Context) ([]template.Head, error) {
	return get[[]template.Head](ctx, c, "/templates", nil)
}

// Show returns a version of a template; version 0 is the one in force.
func (c *Client) Show(ctx context.Context, name string, version uint64) (TemplateBody, error) {
	return get[TemplateBody](ctx, c, templatePath(name, ""), versionQuery("version", version))
}

// History returns the base, author and approval of each version of a template.
func (c *Client) History(ctx context.Context, name string) ([]template.HistoryEntry, error) {
	return get[[]template.HistoryEntry](ctx, c, templatePath(name, "/history"), nil)
}

// Diff returns the difference between two versions of a template; version 0 is
// the one in force.
func (c *Client) Diff(ctx context.Context, name string, from, to uint64) (string, error) {
	query := versionQuery("from", from)
	if to > 0 {
		query.Set("to", strconv.FormatUint(to, 10))
	}
	reply, err := get[DiffReply](ctx, c, templatePath(name, "/diff"), query)
	return reply.Diff, err
}

// DiffDraft returns the difference between a draft and its base version.
func (c *Client) DiffDraft(ctx context.Context, name, draft string) (string, error) {
	reply, err := get[DiffReply](ctx, c, templatePath(name, "/diff"), url.Values{"draft": {draft}})
	return reply.Diff, err
}

// Edit records a draft.
func (c *Client) Edit(ctx context.Context, name string, r EditRequest) (EditReply, error) {
	return post[EditReply](ctx, c, templatePath(name, "/edit"), r)
}

// Approve puts a draft in force.
func (c *Client) Approve(ctx context.Context, name string, r ApproveRequest) (ApproveReply, error) {
	return post[ApproveReply](ctx, c, templatePath(name, "/approve"), r)
}

// TemplateStatus returns the version in force, the version that each entry runs
// and the drafts.
func (c *Client) TemplateStatus(ctx context.Context, name string) (TemplateStatus, error) {
	return get[TemplateStatus](ctx, c, templatePath(name, "/status"), nil)
}

// Status returns the entry's view of the state of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/status", nil)
}

// Drain starts a drain and returns the status of all drains.
func (c *Client) Drain(ctx context.Context, target DrainTarget) ([]DrainStatus, error) {
	return post[[]DrainStatus](ctx, c, "/drain", target)
}

// Drains returns the status of all drains that were started.
func (c *Client) Drains(ctx context.Context) ([]DrainStatus, error) {
	return get[[]DrainStatus](ctx, c, "/drain", nil)
}

func templatePath(name, rest string) string {
	return "/templates/" + url.PathEscape(name) + rest
}

func versionQuery(key string, version uint64) url.Values {
	query := url.Values{}
	if version > 0 {
		query.Set(key, strconv.FormatUint(version, 10))
	}
	return query
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	out, err := do[T](ctx, c, http.MethodGet, path, nil)
	if err != nil && verdict.Of(err) == verdict.MayHaveRun {
		// A read changes nothing, even if its answer is lost.
		err = verdict.Wrap(verdict.NotRun, err)
	}
	return out, err
}

func post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var out T
	data, err := json.Marshal(body)
	if err != nil {
		return out, verdict.New(verdict.NotRun, verdict.CodeInvalid, "encode request: %w", err)
	}
	return do[T](ctx, c, http.MethodPost, path, data)
}

func do[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var out T
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return out, verdict.New(verdict.NotRun, verdict.CodeInvalid, "build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return out, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%w", err)
	}
	defer resp.Body.Close()
	if err := response.Check(resp); err != nil {
		return out, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s %s: %w", method, path, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return out, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "read response: %w", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return out, decodeError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, fmt.Errorf("decode response: %w", err)
	}
	return out, nil
}

// decodeError returns the error that a response reports. A response without an
// ErrorBody, for example from a proxy, gets the verdict MayHaveRun.
func decodeError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "unexpected response with status %d", status)
	}
	return body.Error.toError()
}
