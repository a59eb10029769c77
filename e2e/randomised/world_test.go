package randomised

import (
	"context"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/bench/caller"
	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/bench/inprocess"
	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	entryCount  = 3
	domainCount = 3
	clientIP    = "10.7.0.1"
	platformIP  = "10.9.0.1"

	// loadDuration is the period in which requests arrive. Every fault starts
	// within it.
	loadDuration = 30 * time.Second
	// clientTimeout bounds the time a client spends on one request, retries
	// included. It far exceeds the duration of any fault.
	clientTimeout = 3 * time.Minute
)

func domain(i int) string      { return fmt.Sprintf("fd-%d", i+1) }
func entryIP(i int) string     { return fmt.Sprintf("10.1.%d.1", i+1) }
func hostNetwork(i int) string { return fmt.Sprintf("10.8.%d.0/24", i+1) }
func customer(i int) string    { return fmt.Sprintf("customer-%d", i+1) }

func standinSettings(seed uint64) standin.Settings {
	s := standin.Default()
	s.FailureDomains = nil
	s.Seed = seed
	s.Listen = platformIP + ":70"
	s.Platform.TableLatency = template.Duration(2 * time.Millisecond)
	s.Platform.HostListLag = template.Duration(hostListLag)
	s.Engine.MaxRunning = 16
	s.Engine.LoadLag = template.Duration(200 * time.Millisecond)
	s.Engine.EventLag = template.Duration(300 * time.Millisecond)
	s.Engine.LoadTime = template.Duration(3 * time.Second)
	s.Service.Lookup = seed%2 == 0
	s.Service.ChecksFence = seed%4 < 2
	s.Platform.Weights = []standin.Weights{{Model: "lm", Versions: []string{"1", "2"}}}
	for i := range domainCount {
		s.FailureDomains = append(s.FailureDomains, standin.FailureDomain{
			Name: domain(i), Region: "r", Network: hostNetwork(i),
			Hosts: []standin.Group{
				{Count: 2, Class: "spot", Reclaimable: true, PricePerHour: 1, Model: "lm", Version: "1"},
				{Count: 1, Class: "small", PricePerHour: 0.2, Services: []string{"orders"}},
			},
			Offers: []standin.Offer{{Class: "spot", Reclaimable: true, PricePerHour: 1, LossPerHour: 0.5}},
		})
	}
	return s
}

func entrySettings(i int) settings.Entry {
	s := settings.Default()
	s.ID = fmt.Sprintf("entry-%d", i+1)
	s.Deployment = "test"
	s.FailureDomain = domain(i % domainCount)
	s.Region = "r"
	s.Listen = settings.Listen{Caller: entryIP(i) + ":80", Operator: entryIP(i) + ":81", Peer: entryIP(i) + ":82"}
	s.Platform.URL = "http://" + platformIP + ":70"
	return s
}

func testTemplate() *template.Template {
	t := &template.Template{
		Name:    "test",
		Weights: template.Weights{Cost: 1, Recomputed: 1},
		Models:  []template.Model{{Name: "lm", Version: "1", MinReplicas: 2, MaxReplicas: 8}},
		Services: []template.Service{{Name: "orders", Routes: []template.Route{
			{Method: "POST", Path: "/orders", Kind: "order"},
			{Method: "GET", Path: "/stock", Repeatable: true, Kind: "query"},
		}}},
		Kinds: []template.Kind{
			{Name: "question", Urgency: template.UrgencyUrgent, Deadline: template.Duration(time.Second), Delivery: template.DeliveryAttached, Model: "lm", MaxTokens: 60, Retries: 2},
			{Name: "plan", Urgency: template.UrgencyPatient, Deadline: template.Duration(time.Minute), Delivery: template.DeliveryDurable, Outage: template.OutageRefuse, Model: "lm", MaxTokens: 400, Retries: 4},
			{Name: "order", Urgency: template.UrgencyNormal, Deadline: template.Duration(2 * time.Second), Delivery: template.DeliveryAttached},
			{Name: "query", Urgency: template.UrgencyNormal, Deadline: template.Duration(time.Second), Delivery: template.DeliveryAttached, Retries: 2},
		},
	}
	for i := range 2 {
		t.Customers = append(t.Customers, template.Customer{
			Name: customer(i), KeySHA256: keyHash(customer(i)), Share: 1, TokensPerSecond: 1e5, BurstTokens: 1e6, CostPerHour: 1e6,
		})
	}
	return t
}

func mix() workload.Mix {
	return workload.Mix{
		Customers: []workload.Customer{
			{Name: customer(0), Key: customer(0), Share: 3},
			{Name: customer(1), Key: customer(1), Share: 1},
		},
		Classes: []workload.Class{
			{Kind: "question", PerSecond: 2, Urgent: true, Chat: &workload.Chat{Model: "lm", UniqueTokens: 30, MaxTokens: 60}},
			{Kind: "plan", PerSecond: 0.5, Chat: &workload.Chat{Model: "lm", Documents: 3, DocumentTokens: 300, UniqueTokens: 20, MaxTokens: 400, Durable: true}},
			{Kind: "order", PerSecond: 1.5, Call: &workload.Call{Service: "orders", Method: "POST", Path: "/orders", AtMostOnce: true}},
			{Kind: "query", PerSecond: 0.5, Call: &workload.Call{Service: "orders", Method: "GET", Path: "/stock"}},
		},
	}
}

// testCluster is the deployment, the network and the clients of one run.
type testCluster struct {
	t           testing.TB
	network     *memnet.Network
	deployment  *inprocess.Deployment
	clients     *caller.Clients
	history     *history.History
	entryKilled bool
}

func newTestCluster(t testing.TB, seed uint64) *testCluster {
	t.Helper()
	c := &testCluster{t: t, network: memnet.New(), history: &history.History{}}
	c.network.SetLatency(func(_, to string) time.Duration {
		if to == platformIP {
			return time.Millisecond
		}
		return 500 * time.Microsecond
	})
	options := inprocess.Options{
		Standins: standinSettings(seed),
		Template: testTemplate(),
		Network:  func(ip string) app.Network { return app.Network{Listen: c.network.Listen, Dial: c.network.Dialer(ip)} },
		Log:      newLog(),
	}
	clientOptions := caller.Options{Dial: c.network.Dialer(clientIP), Timeout: clientTimeout, HealthPeriod: 500 * time.Millisecond, Versions: []string{"1", "2"}}
	for i := range entryCount {
		s := entrySettings(i)
		options.Entries = append(options.Entries, s)
		clientOptions.Entries = append(clientOptions.Entries, s.Listen.Caller)
		clientOptions.Operators = append(clientOptions.Operators, s.Listen.Operator)
	}
	deployment, err := inprocess.Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	c.deployment = deployment
	time.Sleep(3 * time.Second)
	c.clients = caller.New(clientOptions)
	return c
}

// newLog returns a logger that writes to standard error if RANDOMISED_LOG is
// set and discards all lines otherwise.
func newLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if os.Getenv("RANDOMISED_LOG") != "" {
		log.SetOutput(os.Stderr)
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "05.000"})
	}
	return log
}

func (c *testCluster) close() {
	c.clients.Close()
	c.deployment.Close(context.Background())
}
