package app_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	platformIP  = "10.9.0.1"
	endpointIP  = "10.8.0.1"
	callerIP    = "10.7.0.1"
	customerKey = "key-of-customer-one"
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testTemplate() *template.Template {
	return &template.Template{
		Name:    "test",
		Weights: template.Weights{Cost: 1, Recomputed: 1},
		Models:  []template.Model{{Name: "lm", Version: "1", MinReplicas: 1, MaxReplicas: 4}},
		Services: []template.Service{{Name: "orders", Routes: []template.Route{
			{Method: "POST", Path: "/orders", Kind: "order"},
		}}},
		Kinds: []template.Kind{
			{Name: "question", Urgency: template.UrgencyUrgent, Deadline: template.Duration(time.Second), Delivery: template.DeliveryAttached, Model: "lm", MaxTokens: 40},
			{Name: "order", Urgency: template.UrgencyNormal, Deadline: template.Duration(5 * time.Second), Delivery: template.DeliveryAttached},
		},
		Customers: []template.Customer{{Name: "one", KeySHA256: hash(customerKey), Share: 1, TokensPerSecond: 1e5, BurstTokens: 1e6}},
	}
}

func serveOn(t *testing.T, network *memnet.Network, address string, handler http.Handler) {
	t.Helper()
	l, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

func entrySettings(i int) settings.Entry {
	s := settings.Default()
	ip := fmt.Sprintf("10.1.0.%d", i)
	s.ID = fmt.Sprintf("entry-%d", i)
	s.Deployment = "test"
	s.FailureDomain = "fd-1"
	s.Listen = settings.Listen{Caller: ip + ":80", Operator: ip + ":81", Peer: ip + ":82"}
	s.Platform.URL = "http://" + platformIP + ":70"
	return s
}

func TestEndToEndInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		p := standin.NewPlatform(1)
		serveOn(t, network, platformIP+":70", p.Handler())
		engine := enginestandin.NewEngine(enginestandin.EngineConfig{Model: "lm", Version: "1", Addr: endpointIP + ":1", Dial: network.Dialer(endpointIP)})
		t.Cleanup(engine.Close)
		serveOn(t, network, endpointIP+":1", engine.Handler())
		service := enginestandin.NewService(enginestandin.ServiceConfig{Name: "orders"})
		serveOn(t, network, endpointIP+":2", service.Handler())
		p.HostList.Put(infra.Host{ID: "h1", Incarnation: "i1", FailureDomain: "fd-1", Class: "c", State: infra.HostLive, Endpoints: []infra.Endpoint{
			{ID: "e1", Kind: infra.KindEngine, Addr: endpointIP + ":1", Name: "lm", Version: "1"},
			{ID: "s1", Kind: infra.KindService, Addr: endpointIP + ":2", Name: "orders"},
		}})
		_, err := template.NewStore(p.Table, template.StoreOptions{}).Publish(t.Context(), 0, "test", testTemplate())
		c.Assert(err, qt.IsNil)

		for i := 1; i <= 2; i++ {
			startEntry(t, network, entrySettings(i))
		}
		time.Sleep(3 * time.Second)

		caller := &http.Client{Transport: &http.Transport{DialContext: network.Dialer(callerIP)}}
		t.Cleanup(caller.CloseIdleConnections)
		messages := []endpoint.Message{{Role: "user", Content: "which wick size for a wide jar"}}
		text := streamedAnswer(c, caller, "http://10.1.0.1:80", messages)
		prompt := prefix.Text(messages)
		want := enginestandin.Answer("lm", "1", prompt, enginestandin.AnswerTokens(prompt, 40))
		c.Assert(text, qt.Equals, want)
		c.Assert(engine.Attempts(), qt.HasLen, 1)

		for range 2 {
			status := order(c, caller, "http://10.1.0.2:80", "order-1")
			c.Assert(status, qt.Equals, http.StatusOK)
		}
		c.Assert(service.Executions("one/order-1"), qt.Equals, 1)
	})
}

func TestPlannedStopRemovesMemberAndLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		p := standin.NewPlatform(1)
		serveOn(t, network, platformIP+":70", p.Handler())
		_, err := template.NewStore(p.Table, template.StoreOptions{}).Publish(t.Context(), 0, "test", testTemplate())
		c.Assert(err, qt.IsNil)
		entry := startEntry(t, network, entrySettings(1))
		time.Sleep(10 * time.Second)
		rows := func(prefix string) int {
			found, err := p.Table.Scan(t.Context(), prefix)
			c.Assert(err, qt.IsNil)
			return len(found)
		}
		c.Assert(rows("member/entry-1"), qt.Equals, 1)
		c.Assert(entry.Drain(t.Context()), qt.IsNil)
		c.Assert(entry.Stop(t.Context()), qt.IsNil)
		c.Assert(rows("member/entry-1"), qt.Equals, 0)
		lease, found, err := p.Table.Get(t.Context(), "lease/control")
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsTrue)
		c.Assert(string(lease.Value), qt.Not(qt.Contains), "entry-1")
	})
}

func startEntry(t *testing.T, network *memnet.Network, s settings.Entry) *app.Entry {
	t.Helper()
	ip, _, _ := strings.Cut(s.Listen.Caller, ":")
	return startEntryOn(t, app.Network{Listen: network.Listen, Dial: network.Dialer(ip)}, s)
}

func startEntryOn(t *testing.T, network app.Network, s settings.Entry) *app.Entry {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	if os.Getenv("ENTRY_LOG") != "" {
		log.SetOutput(os.Stderr)
	}
	entry, err := app.New(app.Config{
		Settings: s,
		Network:  network,
		Log:      log,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := entry.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := entry.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return entry
}

func streamedAnswer(c *qt.C, caller *http.Client, base string, messages []endpoint.Message) string {
	body, err := json.Marshal(map[string]any{"model": "lm", "messages": messages, "stream": true, "max_tokens": 40})
	c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(string(body)))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+customerKey)
	resp, err := caller.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		c.Fatalf("status %s: %s", resp.Status, text)
	}
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	done := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			break
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		c.Assert(json.Unmarshal([]byte(data), &event), qt.IsNil)
		c.Assert(event.Choices, qt.HasLen, 1, qt.Commentf("event %s", data))
		text.WriteString(event.Choices[0].Delta.Content)
	}
	c.Assert(done, qt.IsTrue)
	return text.String()
}

func order(c *qt.C, caller *http.Client, base, key string) int {
	req, err := http.NewRequest(http.MethodPost, base+"/services/orders/orders", strings.NewReader(`{"item":"stand refill"}`))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+customerKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := caller.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	c.Logf("order: %s %s", resp.Status, text)
	return resp.StatusCode
}
