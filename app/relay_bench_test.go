package app_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/cputime"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	benchAnswerTokens = 4000
	benchStreams      = 8
)

// preparedEngine answers with prepared frames as fast as they are read, with
// one token and one write per frame.
func preparedEngine() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathState, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(endpoint.State{Models: []endpoint.LoadedModel{{Model: "lm", Version: "1"}}})
	})
	mux.HandleFunc("GET "+protocol.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(endpoint.Load{MaxRunning: 64, PrefillRate: 1e6, DecodeRate: 1e5})
	})
	mux.HandleFunc("POST "+protocol.PathGenerate, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(protocol.HeaderStream, "s")
		var body protocol.GenerateBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q := body.Request()
		for i := range benchAnswerTokens {
			data, _ := json.Marshal(protocol.ChunkOf(endpoint.Frame{
				RequestID: q.RequestID, AttemptID: q.AttemptID, Offset: i, Text: " token", Tokens: 1, Model: "lm", Version: "1",
				End: i == benchAnswerTokens-1, Total: benchAnswerTokens, FinishReason: "stop",
			}))
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
			_ = http.NewResponseController(w).Flush()
		}
	})
	return mux
}

func listenAndServe(b *testing.B, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// BenchmarkRelay streams answers through an entry over loopback. Engine and
// clients run in the same process, so that the tokens per core second are a
// lower bound of what the entry relays.
func BenchmarkRelay(b *testing.B) {
	p := standin.NewPlatform(1)
	engine := listenAndServe(b, preparedEngine())
	p.HostList.Put(infra.Host{ID: "h", Incarnation: "i", FailureDomain: "fd-1", Class: "c", State: infra.HostLive, Endpoints: []infra.Endpoint{
		{ID: "e", Kind: infra.KindEngine, Addr: engine, Name: "lm", Version: "1"},
	}})
	t := testTemplate()
	t.Kinds[0].MaxTokens, t.Kinds[0].Deadline = benchAnswerTokens, template.Duration(time.Minute)
	t.Customers[0].TokensPerSecond, t.Customers[0].BurstTokens = 1e9, 1e9
	if _, err := template.NewStore(p.Table, template.StoreOptions{}).Publish(b.Context(), 0, "bench", t); err != nil {
		b.Fatal(err)
	}
	s := entrySettings(1)
	s.Platform.URL = "http://" + listenAndServe(b, p.Handler())
	s.Listen.Caller, s.Listen.Operator, s.Listen.Peer = "127.96.0.1:8080", "127.96.0.1:8081", "127.96.0.1:8082"
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.WarnLevel)
	entry, err := app.New(app.Config{Settings: s, Network: app.TCP(), Log: log})
	if err != nil {
		b.Fatal(err)
	}
	if err := entry.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = entry.Stop(context.Background()) }()
	time.Sleep(3 * time.Second)

	before := cputime.Used()
	tokens := 0
	for b.Loop() {
		tokens += relayOnce(b, "http://"+s.Listen.Caller)
	}
	spent := cputime.Used() - before
	b.ReportMetric(float64(tokens)/spent.Seconds(), "tokens/core-s")
	b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// relayOnce streams benchStreams answers at the same time and returns their
// number of tokens.
func relayOnce(b *testing.B, base string) int {
	var work sync.WaitGroup
	for range benchStreams {
		work.Go(func() {
			body := fmt.Sprintf(`{"model":"lm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"q"}]}`, benchAnswerTokens)
			req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			req.Header.Set("Authorization", "Bearer "+customerKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			defer resp.Body.Close()
			answer, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.Contains(answer, []byte("[DONE]")) {
				b.Errorf("%s: answer of %d bytes has no end: %v", resp.Status, len(answer), err)
			}
		})
	}
	work.Wait()
	return benchStreams * benchAnswerTokens
}
