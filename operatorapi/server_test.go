package operatorapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const key = "the-operators-key"

// fakeDeployment is a StatusSource and Drainer for tests.
type fakeDeployment struct {
	status operatorapi.Status
	drains []operatorapi.DrainStatus
}

func (f *fakeDeployment) Status(context.Context) (operatorapi.Status, error) { return f.status, nil }

func (f *fakeDeployment) Drains(context.Context) ([]operatorapi.DrainStatus, error) {
	return f.drains, nil
}

func (f *fakeDeployment) Drain(_ context.Context, target operatorapi.DrainTarget) error {
	if target.Host == "unknown" {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no host %s", target.Host)
	}
	f.drains = append(f.drains, operatorapi.DrainStatus{Target: target, InFlight: 3})
	return nil
}

type harness struct {
	table      *standin.Table
	deployment *fakeDeployment
	server     *httptest.Server
	client     *operatorapi.Client
	// notReadyReason makes /readyz fail if it is not empty.
	notReadyReason string
}

func startServer(t *testing.T) *harness {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &harness{table: standin.NewTable(1), deployment: &fakeDeployment{}}
	h.deployment.status = operatorapi.Status{Entry: "entry-1", Entries: []operatorapi.EntryStatus{{ID: "entry-1", TemplateVersion: 1}}}
	server := operatorapi.New(operatorapi.Deps{
		KeySHA256: hex.EncodeToString(sum[:]),
		Templates: template.NewStore(h.table, template.StoreOptions{MaxAttempts: 1}),
		Status:    h.deployment,
		Drains:    h.deployment,
		Readiness: []operatorapi.Readiness{operatorapi.ReadinessFunc(func() (bool, string) { return h.notReadyReason == "", h.notReadyReason })},
		Metrics:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metric 1\n") }),
		Log:       logrus.NewEntry(log),
	})
	h.server = httptest.NewServer(server.Handler())
	t.Cleanup(h.server.Close)
	h.client = operatorapi.NewClient(h.server.URL, key, h.server.Client())
	return h
}

// shippedTemplate returns the content of the template file that is shipped with
// the deployment karoo-wick.
func shippedTemplate(c *qt.C) string {
	data, err := os.ReadFile("../deployments/karoo-wick/template.toml")
	c.Assert(err, qt.IsNil)
	return string(data)
}

// publish records text as a draft, approves it and returns the new version.
func (h *harness) publish(c *qt.C, base uint64, text string) uint64 {
	ctx := context.Background()
	draft, err := h.client.Edit(ctx, "karoo-wick", operatorapi.EditRequest{Base: base, Author: "ana", File: "f.toml", TOML: text})
	c.Assert(err, qt.IsNil)
	reply, err := h.client.Approve(ctx, "karoo-wick", operatorapi.ApproveRequest{DraftID: draft.DraftID, Author: "bento"})
	c.Assert(err, qt.IsNil)
	return reply.Version
}

func TestTemplateFromEditToHistory(t *testing.T) {
	c := qt.New(t)
	h := startServer(t)
	ctx := context.Background()
	text := shippedTemplate(c)
	c.Assert(h.publish(c, 0, text), qt.Equals, uint64(1))

	shown, err := h.client.Show(ctx, "karoo-wick", 0)
	c.Assert(err, qt.IsNil)
	changed := strings.Replace(shown.TOML, "share = 8.0", "share = 9.0", 1)
	c.Assert(changed, qt.Not(qt.Equals), shown.TOML)
	const want = "~ customers[karoo-candle-house].share: 8 -> 9\n"

	draft, err := h.client.Edit(ctx, "karoo-wick", operatorapi.EditRequest{Base: 1, Author: "ana", File: "f.toml", TOML: changed})
	c.Assert(err, qt.IsNil)
	c.Assert(draft.Diff, qt.Equals, want)
	text, err = h.client.DiffDraft(ctx, "karoo-wick", draft.DraftID)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, want)
	status, err := h.client.TemplateStatus(ctx, "karoo-wick")
	c.Assert(err, qt.IsNil)
	c.Assert(status.Head, qt.Equals, uint64(1))
	c.Assert(status.Drafts, qt.HasLen, 1)
	c.Assert(status.Entries, qt.HasLen, 1)

	reply, err := h.client.Approve(ctx, "karoo-wick", operatorapi.ApproveRequest{DraftID: draft.DraftID, Author: "bento"})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Version, qt.Equals, uint64(2))
	text, err = h.client.Diff(ctx, "karoo-wick", 1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, want)
	entries, err := h.client.History(ctx, "karoo-wick")
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 2)
	c.Assert(entries[1].Author+" "+entries[1].ApprovedBy, qt.Equals, "ana bento")
	heads, err := h.client.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(heads[0].Version, qt.Equals, uint64(2))
}

func TestEditConflictReturnsBothDiffs(t *testing.T) {
	c := qt.New(t)
	h := startServer(t)
	text := shippedTemplate(c)
	h.publish(c, 0, text)
	h.publish(c, 1, strings.Replace(text, "share = 8.0", "share = 9.0", 1))
	_, err := h.client.Edit(context.Background(), "karoo-wick", operatorapi.EditRequest{
		Base: 1, Author: "carla", File: "f.toml", TOML: strings.Replace(text, "share = 2.0", "share = 4.0", 1),
	})
	var conflict *template.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	c.Assert(conflict.Head, qt.Equals, uint64(2))
	c.Assert(conflict.Theirs, qt.Contains, "share: 8 -> 9")
	c.Assert(conflict.Ours, qt.Contains, "share: 2 -> 4")
}

func TestBadRequestsChangeNothing(t *testing.T) {
	c := qt.New(t)
	h := startServer(t)
	text := shippedTemplate(c)
	h.publish(c, 0, text)
	edit := func(r operatorapi.EditRequest) error {
		_, err := h.client.Edit(context.Background(), "karoo-wick", r)
		return err
	}
	tests := []struct {
		name string
		err  error
		code verdict.Code
		text string
	}{
		{"fault with its line", edit(operatorapi.EditRequest{Base: 1, Author: "ana", File: "f.toml", TOML: strings.Replace(text, "share = 8.0", "share = -1.0", 1)}),
			verdict.CodeInvalid, `.*f\.toml:[0-9]+: customers\[0\]\.share: must be more than 0`},
		{"other template", edit(operatorapi.EditRequest{Base: 1, Author: "ana", TOML: strings.Replace(text, `name = "karoo-wick"`, `name = "other"`, 1)}),
			verdict.CodeInvalid, `.*the file is of template "other".*`},
		{"no author", edit(operatorapi.EditRequest{Base: 1, TOML: text}), verdict.CodeInvalid, ".*author is missing"},
		{"stale base", edit(operatorapi.EditRequest{Base: 7, Author: "ana", TOML: text}), verdict.CodeConflict, ".*at version 1, the edit began from 7"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.err, qt.ErrorMatches, test.text)
			c.Assert(verdict.CodeOf(test.err), qt.Equals, test.code)
			c.Assert(verdict.Of(test.err), qt.Equals, verdict.NotRun)
		})
	}
	status, err := h.client.TemplateStatus(context.Background(), "karoo-wick")
	c.Assert(err, qt.IsNil)
	c.Assert(status.Head, qt.Equals, uint64(1))
	c.Assert(status.Drafts, qt.HasLen, 0)
}

func TestStatusCodes(t *testing.T) {
	c := qt.New(t)
	h := startServer(t)
	h.publish(c, 0, shippedTemplate(c))
	tests := []struct {
		name, method, path, body, key string
		want                          int
	}{
		{"no key", "GET", "/status", "", "", 401},
		{"wrong key", "GET", "/status", "", "nope", 401},
		{"hash of the empty key", "GET", "/templates", "", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", 401},
		{"drain without key", "POST", "/drain", `{"host":"h1"}`, "", 401},
		{"unknown path", "GET", "/nothing", "", key, 404},
		{"unknown template", "GET", "/templates/none", "", key, 404},
		{"unknown version", "GET", "/templates/karoo-wick?version=9", "", key, 404},
		{"version not a number", "GET", "/templates/karoo-wick?version=x", "", key, 400},
		{"unknown draft", "POST", "/templates/karoo-wick/approve", `{"draft_id":"x","author":"ana"}`, key, 404},
		{"malformed body", "POST", "/templates/karoo-wick/approve", `{`, key, 400},
		{"drain of nothing", "POST", "/drain", `{}`, key, 400},
		{"drain of two", "POST", "/drain", `{"host":"h","failure_domain":"f"}`, key, 400},
		{"drain of an unknown host", "POST", "/drain", `{"host":"unknown"}`, key, 404},
		{"health without key", "GET", "/healthz", "", "", 200},
		{"ready without key", "GET", "/readyz", "", "", 200},
		{"metrics without key", "GET", "/metrics", "", "", 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			req, err := http.NewRequest(test.method, h.server.URL+test.path, strings.NewReader(test.body))
			c.Assert(err, qt.IsNil)
			if test.key != "" {
				req.Header.Set("Authorization", "Bearer "+test.key)
			}
			resp, err := h.server.Client().Do(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Assert(resp.StatusCode, qt.Equals, test.want)
			if test.want >= 400 {
				c.Assert(resp.Header.Get("X-Verdict"), qt.Equals, "not_run")
			}
		})
	}
	c.Assert(h.deployment.drains, qt.HasLen, 0)
}

func TestReadyzFailsWithItsReason(t *testing.T) {
	c := qt.New(t)
	h := startServer(t)
	h.notReadyReason = "draining"
	resp, err := h.server.Client().Get(h.server.URL + "/readyz")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, 503)
	c.Assert(string(body), qt.Equals, "not ready: draining\n")
}

// fakeWatcher is a template watcher with a fixed state.
type fakeWatcher struct{ ready, fresh bool }

func (w fakeWatcher) Ready() bool { return w.ready }
func (w fakeWatcher) Fresh() bool { return w.fresh }

func TestTemplateReadiness(t *testing.T) {
	c := qt.New(t)
	for state, want := range map[fakeWatcher]string{
		{false, false}: "no template yet",
		{true, false}:  "the template may be out of date",
		{true, true}:   "",
	} {
		ok, reason := operatorapi.TemplateReadiness(state).Ready()
		c.Check(ok, qt.Equals, want == "")
		c.Check(reason, qt.Equals, want)
	}
}

func TestDrainReturnsProgress(t *testing.T) {
	c := qt.New(t)
	h := startServer(t)
	drains, err := h.client.Drain(context.Background(), operatorapi.DrainTarget{FailureDomain: "midrand"})
	c.Assert(err, qt.IsNil)
	c.Assert(drains, qt.HasLen, 1)
	c.Assert(drains[0].InFlight, qt.Equals, 3)
	status, err := h.client.Status(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(status.Entry, qt.Equals, "entry-1")
}
