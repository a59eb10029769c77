package callerapi_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	chatPath  = "/v1/chat/completions"
	validChat = `{"model":"lm","messages":[{"role":"user","content":"hi"}]}`
)

func chat(body string, header ...string) *http.Request {
	return request(http.MethodPost, chatPath, body, header...)
}

func order(path string, header ...string) *http.Request {
	return request(http.MethodPost, "/services/orders"+path, "{}", header...)
}

func without(req *http.Request, header string) *http.Request {
	req.Header.Del(header)
	return req
}

func withAuth(value string) *http.Request {
	req := chat(validChat)
	req.Header.Set("Authorization", value)
	return req
}

func TestInvalidInputIsNotRun(t *testing.T) {
	long := strings.Repeat("k", 257)
	tests := []struct {
		name   string
		req    *http.Request
		status int
		code   verdict.Code
	}{
		{"malformed JSON", chat(`{"model":`), 400, verdict.CodeInvalid},
		{"no JSON", chat(`which wick`), 400, verdict.CodeInvalid},
		{"no body", chat(``), 400, verdict.CodeInvalid},
		{"null", chat(`null`), 400, verdict.CodeInvalid},
		{"array", chat(`[` + validChat + `]`), 400, verdict.CodeInvalid},
		{"trailing garbage", chat(validChat + `x`), 400, verdict.CodeInvalid},
		{"two requests", chat(validChat + validChat), 400, verdict.CodeInvalid},
		{"oversized body", chat(`{"x":"` + strings.Repeat("x", bodyLimit) + `"}`), 413, verdict.CodeTooLarge},
		{"oversized body of a service", request("POST", "/services/orders/orders", strings.Repeat("x", bodyLimit+1), "Idempotency-Key", "k"), 413, verdict.CodeTooLarge},
		{"model is a number", chat(`{"model":5,"messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"messages is text", chat(`{"model":"lm","messages":"hi"}`), 400, verdict.CodeInvalid},
		{"content is a number", chat(`{"model":"lm","messages":[{"role":"user","content":5}]}`), 400, verdict.CodeInvalid},
		{"stream is text", chat(`{"model":"lm","stream":"yes","messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"no messages", chat(`{"model":"lm"}`), 400, verdict.CodeInvalid},
		{"empty messages", chat(`{"model":"lm","messages":[]}`), 400, verdict.CodeInvalid},
		{"message without a role", chat(`{"model":"lm","messages":[{"content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"no model", chat(`{"messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"unknown model", chat(`{"model":"gone","messages":[{"role":"user","content":"hi"}]}`), 404, verdict.CodeNotFound},
		{"over-long model", chat(`{"model":"` + long + `","messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"negative max_tokens", chat(`{"model":"lm","max_tokens":-1,"messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"negative max_completion_tokens", chat(`{"model":"lm","max_completion_tokens":-1,"messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"max_tokens out of range", chat(`{"model":"lm","max_tokens":1e30,"messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},
		{"fractional max_tokens", chat(`{"model":"lm","max_tokens":1.5,"messages":[{"role":"user","content":"hi"}]}`), 400, verdict.CodeInvalid},

		{"unknown kind", chat(validChat, "X-Request-Kind", "gone"), 400, verdict.CodeInvalid},
		{"kind of another model", chat(validChat, "X-Request-Kind", "translate"), 400, verdict.CodeInvalid},
		{"kind of a service", chat(validChat, "X-Request-Kind", "order"), 400, verdict.CodeInvalid},
		{"kind of another customer", chat(validChat, "X-Request-Kind", "secret"), 400, verdict.CodeInvalid},
		{"over-long kind", chat(validChat, "X-Request-Kind", long), 400, verdict.CodeInvalid},
		{"two kinds", chat(validChat, "X-Request-Kind", "question", "X-Request-Kind", "plan"), 400, verdict.CodeInvalid},
		{"route of another customer", order("/audit"), 400, verdict.CodeInvalid},

		{"no key", without(chat(validChat), "Authorization"), 401, verdict.CodeUnauthorized},
		{"unknown key", withAuth("Bearer nobody"), 401, verdict.CodeUnauthorized},
		{"empty key", withAuth("Bearer "), 401, verdict.CodeUnauthorized},
		{"hash of the key", withAuth("Bearer " + hash(keyOne)), 401, verdict.CodeUnauthorized},
		{"key of another deployment", withAuth("Bearer dev-karoo-candle-house"), 401, verdict.CodeUnauthorized},
		{"another scheme", withAuth("Basic " + keyOne), 401, verdict.CodeUnauthorized},
		{"unknown key on a service", without(order("/orders", "Idempotency-Key", "k"), "Authorization"), 401, verdict.CodeUnauthorized},

		{"no idempotency key", order("/orders"), 400, verdict.CodeInvalid},
		{"empty idempotency key", order("/orders", "Idempotency-Key", ""), 400, verdict.CodeInvalid},
		{"no idempotency key on an unnamed route", order("/other"), 400, verdict.CodeInvalid},
		{"no idempotency key on an unnamed method", request("DELETE", "/services/orders/orders", ""), 400, verdict.CodeInvalid},
		{"over-long idempotency key", order("/orders", "Idempotency-Key", long), 400, verdict.CodeInvalid},
		{"tab in an idempotency key", order("/orders", "Idempotency-Key", "a\tb"), 400, verdict.CodeInvalid},
		{"idempotency key beyond ASCII", order("/orders", "Idempotency-Key", "a\u00e9"), 400, verdict.CodeInvalid},
		{"two idempotency keys", order("/orders", "Idempotency-Key", "a", "Idempotency-Key", "b"), 400, verdict.CodeInvalid},
		{"over-long idempotency key on chat", chat(validChat, "X-Request-Kind", "plan", "Idempotency-Key", long), 400, verdict.CodeInvalid},

		{"unknown service", request("POST", "/services/gone/orders", "{}", "Idempotency-Key", "k"), 404, verdict.CodeNotFound},
		{"no path in a service", request("POST", "/services/orders", "{}", "Idempotency-Key", "k"), 404, verdict.CodeNotFound},
		{"unknown path", request("POST", "/v1/completions", validChat), 404, verdict.CodeNotFound},
		{"slash behind a path", request("POST", chatPath+"/", validChat), 404, verdict.CodeNotFound},
		{"another method", request("DELETE", chatPath, ""), 404, verdict.CodeNotFound},

		// Each of these could match the repeatable route /stock/* and reach
		// another path of the service.
		{"dot segments", order("/stock/../orders"), 400, verdict.CodeInvalid},
		{"one dot", order("/stock/./commit"), 400, verdict.CodeInvalid},
		{"two slashes", order("/stock//commit"), 400, verdict.CodeInvalid},
		{"escaped dot segments", order("/stock/%2e%2E/orders"), 400, verdict.CodeInvalid},
		{"escaped slash", order("/stock/..%2forders"), 400, verdict.CodeInvalid},
		{"escaped escape", order("/stock/%252e%252e/orders"), 400, verdict.CodeInvalid},
		{"escaped backslash", order("/stock/%5c..%5corders"), 400, verdict.CodeInvalid},
		{"path parameter", order("/stock/commit;x=1"), 400, verdict.CodeInvalid},
		{"escaped path parameter", order("/stock/commit%3bx=1"), 400, verdict.CodeInvalid},
		{"escaped control character", order("/stock/commit%00"), 400, verdict.CodeInvalid},
		{"escaped letter", order("/stock/c%6fmmit"), 400, verdict.CodeInvalid},
		{"slash at the end", order("/stock/commit/"), 400, verdict.CodeInvalid},
		{"the plain path", order("/stock/commit"), 400, verdict.CodeInvalid},
		{"escaped service", request("POST", "/services%2Forders/stock/x", "{}"), 400, verdict.CodeInvalid},

		{"bad offset", request("GET", "/v1/requests/r1/stream?from=x", ""), 400, verdict.CodeInvalid},
		{"negative offset", request("GET", "/v1/requests/r1/stream?from=-1", ""), 400, verdict.CodeInvalid},
		{"huge offset", request("GET", "/v1/requests/r1/stream?from=99999999999999999999", ""), 400, verdict.CodeInvalid},
		{"bad Last-Event-ID", request("GET", "/v1/requests/r1/stream", "", "Last-Event-ID", "one"), 400, verdict.CodeInvalid},
		{"unknown request", request("GET", "/v1/requests/other", ""), 404, verdict.CodeNotFound},
		{"stream of an unknown request", request("GET", "/v1/requests/other/stream", ""), 404, verdict.CodeNotFound},
		{"unexpected body", request("GET", "/v1/models", "{}"), 400, verdict.CodeInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newTestServer(t)
				s.assertNotRun(c, s.send(c, test.req), test.status, test.code)
			})
		})
	}
}

func TestValidInputRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(t)
		for i, req := range []*http.Request{
			chat(validChat), chat(" " + validChat + "\n"),
			chat(validChat, "X-Request-Kind", "plan", "Idempotency-Key", strings.Repeat("k", 256)),
			chat(`{"model":"lm","max_tokens":1000000000,"messages":[{"role":"user","content":"hi"}]}`),
			order("/orders", "Idempotency-Key", "k 1"), order("/stock/x%20y"), order("/stock/commit", "Idempotency-Key", "k"),
		} {
			r := s.send(c, req)
			c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%d: %s", i, r.body))
			c.Assert(s.runs.Load(), qt.Equals, int64(i+1))
		}
		c.Assert(s.lastRequest.MaxTokens, qt.Equals, 40, qt.Commentf("the kind bounds max_tokens"))
		c.Assert(s.lastCall.Repeatable, qt.IsFalse)
		s.send(c, order("/stock/x%20y?q=1%2F2"))
		c.Assert(s.lastCall.Path, qt.Equals, "/stock/x%20y?q=1%2F2")
		c.Assert(s.lastCall.Repeatable, qt.IsTrue)
	})
}

// TestFailuresKeepTheirVerdict checks that a failure that admission, delivery
// or a service reports reaches the client with the same verdict and code.
func TestFailuresKeepTheirVerdict(t *testing.T) {
	tests := []struct {
		verdict verdict.Verdict
		code    verdict.Code
		status  int
	}{
		{verdict.NotRun, verdict.CodeKeyReused, 422},
		{verdict.MayHaveRun, verdict.CodeInProgress, 409},
		{verdict.NotRun, verdict.CodeLimited, 429},
		{verdict.NotRun, verdict.CodeOverloaded, 503},
		{verdict.MayHaveRun, verdict.CodeUnavailable, 503},
		{verdict.NotRun, verdict.CodeDeadline, 504},
		{verdict.Ran, verdict.CodeInternal, 500},
	}
	for _, test := range tests {
		t.Run(string(test.code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newTestServer(t)
				s.err = verdict.New(test.verdict, test.code, "failed").WithRetryAfter(1500 * time.Millisecond)
				// MaxInFlight is 1: if a ticket is not released, the next
				// request is refused.
				for range 3 {
					for _, req := range []*http.Request{chat(validChat), chat(validChat, "X-Request-Kind", "plan"), order("/orders", "Idempotency-Key", "k")} {
						r := s.send(c, req)
						c.Assert(r.status, qt.Equals, test.status, qt.Commentf("%s", r.body))
						c.Assert(r.code, qt.Equals, string(test.code))
						c.Assert(r.header.Get("X-Verdict"), qt.Equals, test.verdict.String())
						c.Assert(r.header.Get("Retry-After"), qt.Equals, "2")
					}
				}
			})
		})
	}
}

func TestNewWorkRefusedWhenNotReady(t *testing.T) {
	states := map[string]func(s *testServer){
		"draining":    func(s *testServer) { s.closed = true },
		"stale":       func(s *testServer) { s.stale = true },
		"no template": func(s *testServer) { s.index = nil },
	}
	for name, set := range states {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newTestServer(t)
				set(s)
				for _, req := range []*http.Request{chat(validChat), chat(validChat, "X-Request-Kind", "plan"), order("/orders", "Idempotency-Key", "k"), order("/stock/x")} {
					r := s.send(c, req)
					s.assertNotRun(c, r, http.StatusServiceUnavailable, verdict.CodeUnavailable)
					c.Assert(r.header.Get("Retry-After"), qt.Equals, "1")
				}
			})
		})
	}
}

func TestModelsAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(t)
		r := s.send(c, request("GET", "/v1/models", ""))
		c.Assert(r.body, qt.Contains, fmt.Sprintf("%q", "other"))
		c.Assert(s.send(c, request("GET", "/v1/requests/r1", "")).status, qt.Equals, http.StatusOK)
		s.closed = true
		r = s.send(c, request("GET", "/v1/requests/r1/stream", ""))
		s.assertNotRun(c, r, http.StatusServiceUnavailable, verdict.CodeUnavailable)
	})
}

// TestResponseHeaders checks that this interface sets its own headers, and that
// a service's reply can't override them.
func TestResponseHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(t)
		tests := []struct {
			req  *http.Request
			want map[string]string
		}{
			{chat(validChat), map[string]string{"X-Request-Id": "r1", "X-Endpoint": "e1", "X-Template-Version": "7", "X-Durability": "attached"}},
			{chat(validChat, "X-Request-Kind", "plan"), map[string]string{"X-Request-Id": "r1", "X-Endpoint": "e1", "X-Template-Version": "7", "X-Durability": "durable"}},
			{order("/orders", "Idempotency-Key", "k"), map[string]string{"X-Request-Id": "r1", "X-Endpoint": "s1", "X-Template-Version": "7", "X-Verdict": "ran", "X-Order": "5"}},
			// A request keeps the template version that it started with.
			{request("GET", "/v1/requests/r1", ""), map[string]string{"X-Request-Id": "r1", "X-Template-Version": "6", "X-Durability": "durable"}},
			{request("GET", "/v1/requests/r1/stream", ""), map[string]string{"X-Request-Id": "r1", "X-Template-Version": "6", "X-Durability": "durable"}},
		}
		for _, test := range tests {
			r := s.send(c, test.req)
			c.Assert(r.status, qt.Equals, http.StatusOK)
			for name, value := range test.want {
				c.Check(r.header.Values(name), qt.DeepEquals, []string{value}, qt.Commentf("%s of %s", name, test.req.URL.Path))
			}
		}
	})
}
