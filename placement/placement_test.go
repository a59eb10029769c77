package placement_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	endpointrest "github.com/coltsfootcleat/coltsfootcleat/endpoint/rest"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/placement"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// lease is a lease whose holder the test sets.
type lease struct {
	mu    sync.Mutex
	fence uint64
	held  bool
}

func (l *lease) Fence() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.held
}

func (l *lease) set(fence uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.held = fence, held
}

// fixture is the simulated default deployment with the inputs of the
// controllers that a test starts.
type fixture struct {
	*qt.C
	deployment *standin.Deployment
	network    *memnet.Network
	endpoints  *endpointrest.Client
	cloud      *cloud

	mu       sync.Mutex
	demand   []placement.Demand
	template *template.Template
}

// cloud forwards calls to the simulated cloud. It counts host requests and can
// lose their responses.
type cloud struct {
	infra.Cloud
	mu          sync.Mutex
	loseAnswers bool
	calls       int
}

func (c *cloud) Request(ctx context.Context, r infra.HostRequest) (infra.Host, error) {
	c.mu.Lock()
	lose := c.loseAnswers
	c.calls++
	c.mu.Unlock()
	h, err := c.Cloud.Request(ctx, r)
	if lose {
		return infra.Host{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "cloud: %w", errors.New("lost"))
	}
	return h, err
}

func (c *cloud) setLoseAnswers(lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswers = lose
}

func (c *cloud) requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// run runs a test with the default deployment in virtual time. The weight store
// doesn't limit the rate of loads.
func run(t *testing.T, name string, test func(fx *fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New()
			settings := standin.Default()
			settings.Platform.WeightLoadsPerMinute = 0
			d, err := standin.New(settings, network.Dialer("127.9.0.2"), discardLog())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, d.Start(network.Listen), qt.IsNil)
			defer d.Close()
			fx := &fixture{
				C: qt.New(t), deployment: d, network: network, cloud: &cloud{Cloud: d.Platform.Cloud},
				endpoints: endpointrest.NewClient(network.Dialer("127.9.0.1")),
				template: &template.Template{
					Models: []template.Model{{Name: "assistant", Version: "v1", MinReplicas: 2, MaxReplicas: 20}},
					Kinds:  []template.Kind{{Name: "question", Urgency: template.UrgencyUrgent, Model: "assistant"}},
				},
			}
			defer fx.endpoints.Close()
			fx.setDemand(placement.Demand{Streams: 100, UrgentStreams: 40})
			test(fx)
		})
	})
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func (fx *fixture) setDemand(d placement.Demand) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	d.Model, d.Version = "assistant", fx.template.Models[0].Version
	fx.demand = []placement.Demand{d}
}

// setTemplate replaces the template with a changed copy.
func (fx *fixture) setTemplate(change func(t *template.Template)) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	t := *fx.template
	t.Models = slices.Clone(t.Models)
	change(&t)
	fx.template = &t
}

// startController starts a controller, which stops at the end of the test.
func (fx *fixture) startController(l *lease, cfg placement.Config) {
	ctx, cancel := context.WithCancel(fx.TB.Context())
	done := make(chan struct{})
	c := placement.New(cfg, placement.Deps{
		Lease: l, HostList: fx.deployment.Platform.HostList, Cloud: fx.cloud,
		WeightStore: fx.deployment.Platform.WeightStore, Endpoints: fx.endpoints, Log: discardLog(),
		Template: func() *template.Template {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			return fx.template
		},
		Demand: func() []placement.Demand {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			return slices.Clone(fx.demand)
		},
	})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	fx.Cleanup(func() {
		cancel()
		<-done
	})
}

// fastShrink shortens the time until unused hosts are released and unused
// versions unloaded.
var fastShrink = placement.Config{ShrinkAfter: 20 * time.Second}

// hostsByDomain counts the live engine hosts by failure domain.
func (fx *fixture) hostsByDomain() map[string]int {
	out := make(map[string]int)
	for _, h := range fx.liveHosts() {
		out[h.FailureDomain]++
	}
	return out
}

func (fx *fixture) liveHosts() []infra.Host {
	hosts, err := fx.deployment.Platform.HostList.Hosts(fx.TB.Context())
	fx.Assert(err, qt.IsNil)
	return slices.DeleteFunc(hosts, func(h infra.Host) bool {
		return h.State != infra.HostLive || h.Endpoints[0].Kind != infra.KindEngine
	})
}

func (fx *fixture) liveHostCount() int { return len(fx.liveHosts()) }

// serving counts the live engines that serve a version.
func (fx *fixture) serving(version string) int {
	n := 0
	for _, h := range fx.liveHosts() {
		s, err := fx.endpoints.Engine(h.Endpoints[0].Addr).State(fx.TB.Context())
		if err == nil && !s.Leaving && slices.Contains(s.Models, endpoint.LoadedModel{Model: "assistant", Version: version}) {
			n++
		}
	}
	return n
}

func TestDemand(t *testing.T) {
	// A replica of the default deployment runs 16 streams, and plans use 0.7
	// of that: 100 streams need 9 replicas, 40 urgent streams need 4.
	for _, test := range []struct {
		name   string
		demand placement.Demand
		want   map[string]int
	}{
		{"default demand", placement.Demand{Streams: 100, UrgentStreams: 40}, map[string]int{"midrand": 3, "centurion": 3, "kempton": 3}},
		{"more patient work uses the cheapest domain", placement.Demand{Streams: 130, UrgentStreams: 40}, map[string]int{"midrand": 6, "centurion": 3, "kempton": 3}},
		{"more urgent work is spread", placement.Demand{Streams: 100, UrgentStreams: 100}, map[string]int{"midrand": 5, "centurion": 5, "kempton": 4}},
		{"prompts need replicas as well", placement.Demand{PromptRate: 70000}, map[string]int{"midrand": 7, "centurion": 3, "kempton": 3}},
		{"at most MaxReplicas", placement.Demand{Streams: 1000}, map[string]int{"midrand": 14, "centurion": 3, "kempton": 3}},
		{"less work keeps the cheapest domains", placement.Demand{Streams: 40, UrgentStreams: 20}, map[string]int{"midrand": 2, "centurion": 2}},
		{"no work keeps MinReplicas", placement.Demand{}, map[string]int{"midrand": 1, "centurion": 1}},
	} {
		run(t, test.name, func(fx *fixture) {
			fx.setDemand(test.demand)
			fx.startController(&lease{fence: 1, held: true}, fastShrink)
			time.Sleep(3 * time.Minute)
			fx.Assert(fx.hostsByDomain(), qt.DeepEquals, test.want)
			fx.Assert(fx.serving("v1"), qt.Equals, fx.liveHostCount())
		})
	}
}

func TestReclaimedDomainIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name   string
		refuse []string
		want   map[string]int
	}{
		// Midrand is the cheapest, so that hosts lost there are replaced
		// there. As long as two failure domains have offers, none gets more
		// than five of nine hosts, so that four remain for urgent work.
		{"replaced in place", nil, map[string]int{"midrand": 3, "centurion": 3, "kempton": 3}},
		{"replaced elsewhere when refused", []string{"midrand"}, map[string]int{"centurion": 5, "kempton": 4}},
		{"refused in the cheapest two", []string{"midrand", "centurion"}, map[string]int{"centurion": 3, "kempton": 6}},
	} {
		run(t, test.name, func(fx *fixture) {
			fx.startController(&lease{fence: 1, held: true}, fastShrink)
			time.Sleep(30 * time.Second)
			f := fx.deployment.Platform.Faults()
			f.Cloud.RefuseDomains = test.refuse
			fx.deployment.Platform.SetFaults(f)
			fx.deployment.ReclaimDomain("midrand", 15*time.Second)
			// The replacements serve before the hosts are reclaimed.
			time.Sleep(14 * time.Second)
			fx.Assert(fx.hostsByDomain(), qt.DeepEquals, test.want)
			fx.Assert(fx.serving("v1"), qt.Equals, 9)
			time.Sleep(time.Minute)
			fx.Assert(fx.hostsByDomain(), qt.DeepEquals, test.want)
			fx.Assert(fx.serving("v1"), qt.Equals, 9)
		})
	}
}

// TestRefusalsBackOff guards against a storm of requests while the cloud
// refuses every offer for ten minutes, and against a late retry once it grants
// them again.
func TestRefusalsBackOff(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.startController(&lease{fence: 1, held: true}, placement.Config{})
		time.Sleep(30 * time.Second)
		f := fx.deployment.Platform.Faults()
		f.Cloud.RefuseAll = true
		fx.deployment.Platform.SetFaults(f)
		fx.deployment.ReclaimDomain("midrand", time.Second)
		time.Sleep(10 * time.Minute)
		fx.Assert(fx.liveHostCount(), qt.Equals, 6)
		// Each of six offers is retried after 2, 4, 8 ... up to 120 s, with
		// jitter.
		calls := fx.cloud.requests()
		fx.Assert(calls >= 6*7 && calls <= 6*20, qt.IsTrue, qt.Commentf("%d requests", calls))
		f.Cloud.RefuseAll = false
		fx.deployment.Platform.SetFaults(f)
		time.Sleep(4 * time.Minute)
		fx.Assert(fx.liveHostCount(), qt.Equals, 9)
	})
}

// TestLoadsFollowWeightStoreRate checks that no more hosts are requested than
// the weight store allows loads: one every ten seconds.
func TestLoadsFollowWeightStoreRate(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.startController(&lease{fence: 1, held: true}, placement.Config{})
		f := fx.deployment.Platform.Faults()
		f.WeightStore.LoadsPerMinute = 6
		fx.deployment.Platform.SetFaults(f)
		time.Sleep(30 * time.Second)
		fx.deployment.ReclaimDomain("midrand", time.Second)
		fx.deployment.ReclaimDomain("kempton", time.Second)
		time.Sleep(25 * time.Second)
		// The store allows a burst of three, then one every ten seconds.
		first := fx.cloud.requests()
		fx.Assert(first >= 4 && first <= 5, qt.IsTrue, qt.Commentf("%d requests", first))
		time.Sleep(time.Minute)
		fx.Assert(fx.liveHostCount(), qt.Equals, 9)
	})
}

func TestLostResponseAddsNoExtraHost(t *testing.T) {
	run(t, "", func(fx *fixture) {
		// Rounds come faster than the host list shows new hosts.
		fx.startController(&lease{fence: 1, held: true}, placement.Config{Period: 200 * time.Millisecond})
		time.Sleep(30 * time.Second)
		fx.cloud.setLoseAnswers(true)
		fx.deployment.ReclaimDomain("midrand", time.Second)
		time.Sleep(30 * time.Second)
		fx.cloud.setLoseAnswers(false)
		time.Sleep(3 * time.Minute)
		fx.Assert(fx.hostsByDomain(), qt.DeepEquals, map[string]int{"midrand": 3, "centurion": 3, "kempton": 3})
		// Only nine initial hosts and three replacements have ever run: no
		// surplus host was requested.
		fx.Assert(len(fx.deployment.Records().Attempts), qt.Equals, 12)
	})
}

func TestCostCeilingKeepsUrgentReplicas(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.setDemand(placement.Demand{Streams: 200, UrgentStreams: 40})
		cfg := fastShrink
		cfg.CostPerHour = 6
		fx.startController(&lease{fence: 1, held: true}, cfg)
		time.Sleep(3 * time.Minute)
		cost := 0.0
		for _, h := range fx.liveHosts() {
			cost += h.PricePerHour
		}
		fx.Assert(cost < 6+1e-9, qt.IsTrue, qt.Commentf("%v", cost))
		// Four hosts remain for urgent work after the loss of any failure
		// domain.
		for domain, n := range fx.hostsByDomain() {
			fx.Assert(fx.liveHostCount()-n >= 4, qt.IsTrue, qt.Commentf("%s: %v", domain, fx.hostsByDomain()))
		}
	})
}

// TestLossCostSelectsReclaimability checks that reclaimable hosts are chosen if
// losing a host costs little, and not if it costs much.
func TestLossCostSelectsReclaimability(t *testing.T) {
	for _, test := range []struct {
		name     string
		lossCost float64
		want     bool
	}{
		{"losses cost little", 0.1, true},
		{"losses cost much", 100, false},
	} {
		run(t, test.name, func(fx *fixture) {
			fx.setDemand(placement.Demand{Streams: 130, UrgentStreams: 40})
			fx.startController(&lease{fence: 1, held: true}, placement.Config{LossCost: test.lossCost, ShrinkAfter: time.Hour})
			time.Sleep(3 * time.Minute)
			reclaimable := 0
			for _, h := range fx.liveHosts() {
				if h.Reclaimable {
					reclaimable++
				}
			}
			fx.Assert(reclaimable > 0, qt.Equals, test.want)
		})
	}
}

// TestVersionRolloutHasNoGap checks every second of a rollout that each engine
// serves the old version until requests no longer need it, and the new one from
// then on.
func TestVersionRolloutHasNoGap(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.deployment.Platform.WeightStore.Publish("assistant", "v2")
		fx.startController(&lease{fence: 1, held: true}, fastShrink)
		time.Sleep(30 * time.Second)
		fx.Assert(fx.serving("v1"), qt.Equals, 9)
		fx.setTemplate(func(t *template.Template) { t.Models[0].Version = "v2" })
		// Requests accepted earlier must run on the old version.
		fx.mu.Lock()
		fx.demand = []placement.Demand{
			{Model: "assistant", Version: "v2", Streams: 100, UrgentStreams: 40},
			{Model: "assistant", Version: "v1", InFlight: 3},
		}
		fx.mu.Unlock()
		for range 120 {
			time.Sleep(time.Second)
			fx.Assert(fx.serving("v1"), qt.Equals, 9)
		}
		fx.Assert(fx.serving("v2"), qt.Equals, 9)
		fx.setDemand(placement.Demand{Streams: 100, UrgentStreams: 40})
		for fx.serving("v1") > 0 {
			fx.Assert(fx.serving("v2"), qt.Equals, 9)
			time.Sleep(time.Second)
		}
	})
}

// TestSlowRolloutKeepsOldVersion limits the rate of loads so that the rollout
// takes longer than ShrinkAfter. The old version must not be unloaded before
// the new one serves.
func TestSlowRolloutKeepsOldVersion(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.deployment.Platform.WeightStore.Publish("assistant", "v2")
		f := fx.deployment.Platform.Faults()
		f.WeightStore.LoadsPerMinute = 6
		fx.deployment.Platform.SetFaults(f)
		fx.startController(&lease{fence: 1, held: true}, fastShrink)
		time.Sleep(30 * time.Second)
		fx.setTemplate(func(t *template.Template) { t.Models[0].Version = "v2" })
		fx.setDemand(placement.Demand{Streams: 100, UrgentStreams: 40})
		start := time.Now()
		for fx.serving("v2") < 9 {
			fx.Assert(fx.serving("v1"), qt.Equals, 9)
			time.Sleep(time.Second)
		}
		fx.Assert(time.Since(start) > time.Minute, qt.IsTrue)
		time.Sleep(time.Minute)
		fx.Assert(fx.serving("v1"), qt.Equals, 0)
	})
}

// TestCustomerVersionIsLoadedForItsDemand checks that a model version that only
// one customer uses is loaded on as many replicas as its demand requires.
func TestCustomerVersionIsLoadedForItsDemand(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.deployment.Platform.WeightStore.Publish("assistant", "v2")
		fx.setTemplate(func(t *template.Template) {
			t.Customers = []template.Customer{{Name: "c", ModelVersions: map[string]string{"assistant": "v2"}}}
		})
		fx.mu.Lock()
		fx.demand = append(fx.demand, placement.Demand{Model: "assistant", Version: "v2", Streams: 10, UrgentStreams: 10})
		fx.mu.Unlock()
		fx.startController(&lease{fence: 1, held: true}, fastShrink)
		time.Sleep(2 * time.Minute)
		fx.Assert(fx.serving("v2"), qt.Equals, 2)
		fx.Assert(fx.serving("v1") >= 9, qt.IsTrue)
	})
}

func TestOnlyLeaseHolderActs(t *testing.T) {
	run(t, "", func(fx *fixture) {
		old, next := &lease{fence: 1, held: true}, &lease{fence: 2}
		// Rounds come faster than the host list shows new hosts.
		cfg := placement.Config{Period: 200 * time.Millisecond}
		fx.startController(old, cfg)
		fx.startController(next, cfg)
		time.Sleep(30 * time.Second)
		fx.deployment.ReclaimDomain("midrand", time.Second)
		// The lease changes holders in the middle of the replacement.
		for fx.cloud.requests() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		old.set(1, false)
		next.set(2, true)
		time.Sleep(3 * time.Minute)
		fx.Assert(fx.hostsByDomain(), qt.DeepEquals, map[string]int{"midrand": 3, "centurion": 3, "kempton": 3})
		fx.Assert(len(fx.deployment.Records().Attempts), qt.Equals, 12)
	})
}

// TestPausedHolderIsFenced checks that engines that check fencing tokens refuse
// the orders of an old holder that still assumes it holds the lease.
func TestPausedHolderIsFenced(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.deployment.Platform.WeightStore.Publish("assistant", "v2")
		fx.startController(&lease{fence: 2, held: true}, fastShrink)
		time.Sleep(20 * time.Second)
		for _, h := range fx.liveHosts() {
			err := fx.endpoints.Engine(h.Endpoints[0].Addr).Order(fx.TB.Context(), endpoint.Order{Kind: endpoint.OrderRole, Fence: 2})
			fx.Assert(err, qt.IsNil)
		}
		fx.setTemplate(func(t *template.Template) { t.Models[0].Version = "v2" })
		fx.setDemand(placement.Demand{})
		fx.startController(&lease{fence: 1, held: true}, placement.Config{Settle: time.Millisecond, Period: time.Second})
		time.Sleep(2 * time.Minute)
		for _, h := range fx.liveHosts() {
			s, err := fx.endpoints.Engine(h.Endpoints[0].Addr).State(fx.TB.Context())
			fx.Assert(err, qt.IsNil)
			fx.Assert(s.Fence, qt.Equals, uint64(2))
		}
	})
}

func TestShortDemandDipKeepsHosts(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.startController(&lease{fence: 1, held: true}, fastShrink)
		time.Sleep(time.Minute)
		fx.setDemand(placement.Demand{})
		time.Sleep(10 * time.Second)
		fx.setDemand(placement.Demand{Streams: 100, UrgentStreams: 40})
		time.Sleep(time.Minute)
		fx.Assert(fx.serving("v1"), qt.Equals, 9)
		fx.Assert(fx.cloud.requests(), qt.Equals, 0)
	})
}

func TestHostListOutageStopsDecisions(t *testing.T) {
	run(t, "", func(fx *fixture) {
		fx.startController(&lease{fence: 1, held: true}, fastShrink)
		time.Sleep(30 * time.Second)
		f := fx.deployment.Platform.Faults()
		f.HostList.Outage = true
		fx.deployment.Platform.SetFaults(f)
		time.Sleep(5 * time.Second) // until a round that is in progress has ended
		fx.setDemand(placement.Demand{Streams: 400})
		time.Sleep(time.Minute)
		fx.Assert(fx.cloud.requests(), qt.Equals, 0)
		f.HostList.Outage = false
		fx.deployment.Platform.SetFaults(f)
		time.Sleep(2 * time.Minute)
		fx.Assert(fx.liveHostCount(), qt.Equals, 20)
	})
}

// TestDrainWaitsForStreams checks that surplus hosts are not released while
// they have a stream.
func TestDrainWaitsForStreams(t *testing.T) {
	run(t, "", func(fx *fixture) {
		var wg sync.WaitGroup
		for _, h := range fx.liveHosts() {
			s, err := fx.endpoints.Engine(h.Endpoints[0].Addr).Generate(fx.TB.Context(), endpoint.GenerateRequest{
				RequestID: h.ID, AttemptID: h.ID, Customer: "c", Model: "assistant", Version: "v1", MaxTokens: 6000,
				Messages: []endpoint.Message{{Role: "user", Content: h.ID}},
			})
			fx.Assert(err, qt.IsNil)
			wg.Go(func() {
				defer s.Close()
				for {
					_, err := s.Next(fx.TB.Context())
					if err != nil {
						fx.Check(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
						return
					}
				}
			})
		}
		fx.setDemand(placement.Demand{})
		fx.startController(&lease{fence: 1, held: true}, fastShrink)
		time.Sleep(40 * time.Second)
		fx.Assert(fx.liveHostCount(), qt.Equals, 9)
		wg.Wait()
		time.Sleep(time.Minute)
		fx.Assert(fx.liveHostCount(), qt.Equals, 2)
	})
}
