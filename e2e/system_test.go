package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

// Names and keys in the shipped deployment of Karoo Wick.
const (
	deployment  = "karoo-wick"
	model       = "karoo-lm"
	version     = "2026.1"
	service     = "order-and-stock"
	customer    = "karoo-candle-house"
	customerKey = "dev-karoo-candle-house"
	otherKey    = "dev-drakensberg-tapers"
	operatorKey = "dev-karoo-wick-operator"
)

// scopedKey returns the key under which the service counts a call of customer.
func scopedKey(key string) string { return endpoint.ScopedKey(customer, key) }

// system holds the stand-ins and the entry hosts of one test. Each test uses
// loopback networks of its own, so that concurrent tests of other packages
// don't interfere.
type system struct {
	t        *testing.T
	dir      string
	network  int
	standin  *process
	platform string
	entries  []*entry
}

// entry is an entry host.
type entry struct {
	*process
	clientAddr, operatorAddr string
	settings                 string
}

// startSystem starts the stand-ins and n entry hosts on addresses of 127.N.x.x,
// where N is network, and waits until all entries are ready.
func startSystem(t *testing.T, network, n int) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), network: network}
	s.startStandin()
	for i := 1; i <= n; i++ {
		s.entries = append(s.entries, s.startEntry(i))
	}
	for _, e := range s.entries {
		waitReady(t, "http://"+e.operatorAddr+"/readyz")
	}
	return s
}

// copyConfig copies a file of the deployment, replaces its addresses by those
// of the test, and returns the path of the copy.
func (s *system) copyConfig(name string, replace ...string) string {
	s.t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "deployments", deployment, name))
	if err != nil {
		s.t.Fatal(err)
	}
	replace = append(replace, "127.0.", fmt.Sprintf("127.%d.", s.network))
	path := filepath.Join(s.dir, fmt.Sprintf("%d-%s", len(s.entries), name))
	if err := os.WriteFile(path, []byte(strings.NewReplacer(replace...).Replace(string(text))), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *system) startStandin() {
	template := s.copyConfig("template.toml")
	s.standin = start(s.t, "standin", "standin", "-settings", s.copyConfig("standin.toml"), "-template", template)
	s.platform = fmt.Sprintf("http://127.%d.10.100:7000", s.network)
	waitReady(s.t, s.platform+"/hosts")
}

func (s *system) startEntry(i int) *entry {
	names := []string{"midrand", "centurion", "kempton"}
	file := s.copyConfig("entry-" + names[(i-1)%len(names)] + ".toml")
	e := &entry{
		clientAddr:   fmt.Sprintf("127.%d.10.%d:8080", s.network, i),
		operatorAddr: fmt.Sprintf("127.%d.10.%d:8081", s.network, i),
		settings:     file,
	}
	e.process = start(s.t, fmt.Sprintf("entry-%d", i), "serve", "-settings", file)
	return e
}

// records returns the attempts, executions and totals that the stand-ins
// recorded.
func (s *system) records() standin.Records {
	s.t.Helper()
	var r standin.Records
	s.getJSON(s.platform+"/admin/records", &r)
	return r
}

func (s *system) getJSON(url string, v any) {
	s.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		s.t.Fatalf("%s: %v", url, err)
	}
}

// newRequest returns a request with an API key.
func newRequest(method, url, key, body string) *http.Request {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return req
}

func chatBody(question string, stream bool, maxTokens int) string {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": maxTokens,
		"messages": []endpoint.Message{{Role: "user", Content: question}},
	})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// wantAnswer returns the complete answer, which is the same on every engine.
func wantAnswer(question string, maxTokens int) string {
	prompt := prefix.Text([]endpoint.Message{{Role: "user", Content: question}})
	return enginestandin.Answer(model, version, prompt, enginestandin.AnswerTokens(prompt, maxTokens))
}

// reply is a response as the client received it.
type reply struct {
	status int
	header http.Header
	text   string
	// complete is set if the end mark of a stream was read.
	complete bool
	body     string
}

// send sends a request and reads its stream or body to the end.
func send(req *http.Request) (reply, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, header: resp.Header}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		r.body = string(body)
		return r, err
	}
	return r, r.readStream(resp.Body)
}

func (r *reply) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.complete = true
			continue
		}
		var event struct {
			Error   json.RawMessage
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(data, &event); err != nil {
			return err
		}
		if event.Error != nil {
			return fmt.Errorf("error in stream: %s", event.Error)
		}
		for _, c := range event.Choices {
			r.text += c.Delta.Content
		}
	}
	return lines.Err()
}

func TestRequestsOverSeparateProcesses(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 30, 3)
	const question = "which wax grade for a tall pillar candle"
	for _, e := range s.entries {
		req := newRequest(http.MethodPost, "http://"+e.clientAddr+"/v1/chat/completions", customerKey, chatBody(question, true, 60))
		r, err := send(req)
		c.Assert(err, qt.IsNil)
		c.Assert(r.status, qt.Equals, http.StatusOK)
		c.Assert(r.complete, qt.IsTrue)
		c.Assert(r.text, qt.Equals, wantAnswer(question, 60))
		c.Assert(r.header.Get("X-Request-Id"), qt.Not(qt.Equals), "")
		c.Assert(r.header.Get("X-Template-Version"), qt.Equals, "1")
	}
	for range 2 {
		req := newRequest(http.MethodPost, "http://"+s.entries[1].clientAddr+"/services/"+service+"/orders", customerKey, `{"item":"stand refill"}`)
		req.Header.Set("Idempotency-Key", "order-1")
		r, err := send(req)
		c.Assert(err, qt.IsNil)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	}
	c.Assert(s.records().Services[service].Executions, qt.DeepEquals, map[string]int{scopedKey("order-1"): 1})
	for _, e := range s.entries {
		e.terminate()
		e.wait()
	}
}
