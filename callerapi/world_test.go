package callerapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/callerapi"
	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	address     = "10.1.0.1:80"
	base        = "http://" + address
	keyOne      = "key-of-customer-one"
	bodyLimit   = 2000
	bodyTimeout = 3 * time.Second
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testTemplate() *template.Template {
	deadline := template.Duration(time.Second)
	return &template.Template{
		Name: "test", Version: 7,
		Models: []template.Model{{Name: "lm", Version: "1"}, {Name: "other", Version: "1"}},
		Services: []template.Service{{Name: "orders", Routes: []template.Route{
			{Method: "GET", Path: "/stock/*", Repeatable: true, Kind: "order"},
			{Method: "POST", Path: "/stock/*", Repeatable: true, Kind: "order"},
			{Method: "POST", Path: "/stock/commit", Kind: "order"},
			{Method: "POST", Path: "/orders", Kind: "order"},
			{Method: "POST", Path: "/audit", Repeatable: true, Kind: "audit"},
		}}},
		Kinds: []template.Kind{
			{Name: "question", Urgency: template.UrgencyUrgent, Deadline: deadline, Delivery: template.DeliveryAttached, Model: "lm", MaxTokens: 40},
			{Name: "plan", Urgency: template.UrgencyPatient, Deadline: deadline, Delivery: template.DeliveryDurable, Model: "lm", MaxTokens: 40},
			{Name: "secret", Urgency: template.UrgencyNormal, Deadline: deadline, Delivery: template.DeliveryAttached, Model: "lm", MaxTokens: 40},
			{Name: "translate", Urgency: template.UrgencyNormal, Deadline: deadline, Delivery: template.DeliveryAttached, Model: "other", MaxTokens: 40},
			{Name: "order", Urgency: template.UrgencyNormal, Deadline: deadline, Delivery: template.DeliveryAttached},
			{Name: "audit", Urgency: template.UrgencyNormal, Deadline: deadline, Delivery: template.DeliveryAttached},
		},
		Customers: []template.Customer{{
			Name: "one", KeySHA256: hash(keyOne), Share: 1, TokensPerSecond: 1e5, BurstTokens: 1e6,
			Kinds: []string{"question", "plan", "translate", "order"},
		}},
	}
}

// fakes implements the dependencies of the Server except Admission, and counts
// the requests that run.
type fakes struct {
	index       *template.Index
	stale       bool
	closed      bool
	inFlight    atomic.Int64
	runs        atomic.Int64
	lastRequest *delivery.Request
	lastCall    delivery.ServiceCall
	err         error
	answer      string
	delay       time.Duration
}

func (f *fakes) Index() *template.Index { return f.index }
func (f *fakes) Fresh() bool            { return !f.stale }

func (f *fakes) Enter() bool {
	if f.closed {
		return false
	}
	f.inFlight.Add(1)
	return true
}
func (f *fakes) Leave() { f.inFlight.Add(-1) }

func (f *fakes) RunAttached(_ context.Context, r *delivery.Request, out delivery.Output) error {
	f.runs.Add(1)
	f.lastRequest = r
	r.Ticket.Done(admission.Usage{})
	time.Sleep(f.delay)
	return f.write(out)
}

func (f *fakes) write(out delivery.Output) error {
	if f.err != nil {
		return f.err
	}
	if err := out.Bound("e1"); err != nil {
		return err
	}
	if err := out.Write(delivery.Chunk{Text: f.answer, Tokens: 1}); err != nil {
		return err
	}
	return out.End(delivery.Summary{Tokens: 1, FinishReason: "stop"})
}

func (f *fakes) StartDurable(_ context.Context, r *delivery.Request) (string, error) {
	f.lastRequest = r
	if f.err != nil {
		return "", f.err
	}
	f.runs.Add(1)
	r.Ticket.Done(admission.Usage{})
	return r.ID, nil
}

func (f *fakes) Follow(_ context.Context, _, _ string, _ int, out delivery.Output) error {
	return f.write(out)
}

func (f *fakes) Status(_ context.Context, _, id string) (delivery.Status, error) {
	if id != "r1" {
		return delivery.Status{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no request")
	}
	return delivery.Status{ID: id, Model: "lm", TemplateVersion: 6}, nil
}

func (f *fakes) PredictedWait(*delivery.Request) time.Duration { return 0 }

func (f *fakes) Call(_ context.Context, c delivery.ServiceCall) (endpoint.Reply, string, error) {
	if f.err != nil {
		return endpoint.Reply{}, "", f.err
	}
	f.runs.Add(1)
	f.lastCall = c
	time.Sleep(f.delay)
	header := http.Header{"X-Verdict": {"not_run"}, "X-Request-Id": {"other"}, "X-Endpoint": {"other"}, "X-Order": {"5"}}
	return endpoint.Reply{Status: http.StatusOK, Header: header, Body: []byte(f.answer)}, "s1", nil
}

// testServer is a Server on an in-memory network, with a client. It must be
// used within one synctest bubble.
type testServer struct {
	*fakes
	network *memnet.Network
	client  *http.Client
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{fakes: &fakes{index: template.NewIndex(testTemplate()), answer: "w"}, network: memnet.New()}
	controller := admission.New(admission.Options{MaxInFlight: 1, MaxQueue: 1})
	controller.SetTemplate(s.index.Template)
	log := logrus.New()
	log.SetOutput(io.Discard)
	api := callerapi.New(callerapi.Deps{
		Templates: s.fakes, Admission: controller, Answers: s.fakes, Services: s.fakes, Gate: s.fakes,
		Limits: settings.Limits{BodyBytes: bodyLimit, BodyTimeout: template.Duration(bodyTimeout)},
		Log:    logrus.NewEntry(log),
		NewID:  func() string { return "r1" },
	})
	l, err := s.network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: api}
	go func() { _ = server.Serve(l) }()
	transport := &http.Transport{DialContext: s.network.Dialer("10.7.0.1")}
	s.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return s
}

// request returns a request with the API key of the customer. header lists
// names and values alternately.
func request(method, path, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+keyOne)
	for i := 0; i < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	return req
}

type reply struct {
	status int
	header http.Header
	body   string
	code   string
}

func (s *testServer) send(c *qt.C, req *http.Request) reply {
	c.Helper()
	resp, err := s.client.Do(req)
	c.Assert(err, qt.IsNil)
	return readReply(c, resp)
}

func readReply(c *qt.C, resp *http.Response) reply {
	c.Helper()
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(body)}
	var e struct {
		Error struct{ Code, Verdict, Message string }
	}
	if json.Unmarshal(body, &e) == nil && e.Error.Code != "" {
		r.code = e.Error.Code
		c.Assert(e.Error.Verdict, qt.Equals, resp.Header.Get("X-Verdict"))
		c.Assert(e.Error.Message, qt.Not(qt.Equals), "")
	}
	return r
}

// assertNotRun checks that r is a refusal with the verdict NotRun, that nothing
// ran and that no request is still in flight.
func (s *testServer) assertNotRun(c *qt.C, r reply, status int, code verdict.Code) {
	c.Helper()
	c.Assert(r.status, qt.Equals, status, qt.Commentf("%s", r.body))
	c.Assert(r.code, qt.Equals, string(code))
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "not_run")
	c.Assert(s.runs.Load(), qt.Equals, int64(0))
	c.Assert(s.inFlight.Load(), qt.Equals, int64(0))
}
