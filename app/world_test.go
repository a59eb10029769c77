package app_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	secondKey  = "key-of-customer-two"
	longTokens = 20000
	engineAddr = endpointIP + ":1"
)

// world is a deployment of two entries, an engine and two replicas of a
// service. It runs in one synctest bubble.
type world struct {
	network  *memnet.Network
	platform *standin.Platform
	engine   *enginestandin.Engine
	services []*enginestandin.Service
	entries  []*app.Entry
	caller   *http.Client
	// engineEvents counts the events that entries have read from the engine's
	// streams.
	engineEvents atomic.Int64
}

func worldTemplate() *template.Template {
	t := testTemplate()
	t.Kinds = append(t.Kinds,
		template.Kind{Name: "long", Urgency: template.UrgencyNormal, Deadline: template.Duration(time.Minute), Delivery: template.DeliveryAttached, Model: "lm", MaxTokens: longTokens},
		template.Kind{Name: "plan", Urgency: template.UrgencyPatient, Deadline: template.Duration(time.Minute), Delivery: template.DeliveryDurable, Outage: template.OutageRefuse, Model: "lm", MaxTokens: longTokens},
	)
	two := t.Customers[0]
	two.Name, two.KeySHA256 = "two", hash(secondKey)
	t.Customers = append(t.Customers, two)
	return t
}

func newWorld(t *testing.T, lookup bool) *world {
	t.Helper()
	w := &world{network: memnet.New(), platform: standin.NewPlatform(1)}
	serveOn(t, w.network, platformIP+":70", w.platform.Handler())
	w.engine = enginestandin.NewEngine(enginestandin.EngineConfig{Model: "lm", Version: "1", Addr: engineAddr, DecodeRate: 100, Dial: w.network.Dialer(endpointIP)})
	t.Cleanup(w.engine.Close)
	serveOn(t, w.network, engineAddr, w.engine.Handler())
	host := infra.Host{ID: "h1", Incarnation: "i1", FailureDomain: "fd-1", Class: "c", State: infra.HostLive, Endpoints: []infra.Endpoint{
		{ID: "e1", Kind: infra.KindEngine, Addr: engineAddr, Name: "lm", Version: "1"},
	}}
	ledger := enginestandin.NewLedger()
	for i := range 2 {
		service := enginestandin.NewService(enginestandin.ServiceConfig{Name: "orders", Lookup: lookup, Ledger: ledger})
		address := fmt.Sprintf("%s:%d", endpointIP, 2+i)
		serveOn(t, w.network, address, service.Handler())
		w.services = append(w.services, service)
		host.Endpoints = append(host.Endpoints, infra.Endpoint{ID: fmt.Sprintf("s%d", i+1), Kind: infra.KindService, Addr: address, Name: "orders"})
	}
	w.platform.HostList.Put(host)
	if _, err := template.NewStore(w.platform.Table, template.StoreOptions{}).Publish(t.Context(), 0, "test", worldTemplate()); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 2; i++ {
		w.entries = append(w.entries, startEntryOn(t, w.entryNetwork(i), entrySettings(i)))
	}
	transport := &http.Transport{DialContext: w.network.Dialer(callerIP)}
	t.Cleanup(transport.CloseIdleConnections)
	w.caller = &http.Client{Transport: transport}
	time.Sleep(3 * time.Second)
	return w
}

// entryNetwork returns a network for an entry that counts the events that the
// entry reads from the engine.
func (w *world) entryNetwork(i int) app.Network {
	dial := w.network.Dialer(fmt.Sprintf("10.1.0.%d", i))
	return app.Network{Listen: w.network.Listen, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != engineAddr {
			return conn, err
		}
		return &countingConn{Conn: conn, events: &w.engineEvents}, nil
	}}
}

type countingConn struct {
	net.Conn
	events *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.events.Add(int64(bytes.Count(p[:n], []byte("data: "))))
	return n, err
}

func (w *world) running(c *qt.C) int {
	c.Helper()
	load, err := w.engine.Load(context.Background())
	c.Assert(err, qt.IsNil)
	return load.Running
}

// entryURL returns the URL for clients of an entry, numbered from 1.
func entryURL(i int, path string) string { return fmt.Sprintf("http://10.1.0.%d:80%s", i, path) }

func newRequest(method, url, key, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

// send returns the response and its complete body.
func (w *world) send(c *qt.C, req *http.Request) (*http.Response, string) {
	c.Helper()
	resp, err := w.caller.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(body)
}
