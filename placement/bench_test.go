package placement

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	plannedReplicas = 2900
	plannedDomains  = 12
)

// plannedFleet is a platform with engines at the planned size, all of which
// respond without delay.
type plannedFleet struct {
	endpoint.Engine
	hosts  []infra.Host
	offers []infra.Offer
}

func newPlannedFleet() *plannedFleet {
	f := &plannedFleet{}
	for i := range plannedReplicas {
		id := fmt.Sprint("host-", i)
		f.hosts = append(f.hosts, infra.Host{
			ID: id, Incarnation: id, FailureDomain: fmt.Sprint("fd-", i%plannedDomains), Class: "spot",
			Reclaimable: true, State: infra.HostLive, PricePerHour: 1,
			Endpoints: []infra.Endpoint{{ID: id, Kind: infra.KindEngine, Addr: id, Name: "lm", Version: "1"}},
		})
	}
	for i := range plannedDomains {
		f.offers = append(f.offers, infra.Offer{FailureDomain: fmt.Sprint("fd-", i), Class: "spot", Reclaimable: true, PricePerHour: 1})
	}
	return f
}

func (f *plannedFleet) Hosts(context.Context) ([]infra.Host, error)        { return f.hosts, nil }
func (f *plannedFleet) Offers(context.Context) ([]infra.Offer, error)      { return f.offers, nil }
func (f *plannedFleet) Release(context.Context, string) error              { return nil }
func (f *plannedFleet) Fence() (uint64, bool)                              { return 1, true }
func (f *plannedFleet) Order(context.Context, endpoint.Order) error        { return nil }
func (f *plannedFleet) Versions(context.Context, string) ([]string, error) { return []string{"1"}, nil }

func (f *plannedFleet) Request(context.Context, infra.HostRequest) (infra.Host, error) {
	return infra.Host{}, nil
}

func (f *plannedFleet) Notices(context.Context, uint64) ([]infra.Notice, error) { return nil, nil }

func (f *plannedFleet) State(context.Context) (endpoint.State, error) {
	return endpoint.State{Models: []endpoint.LoadedModel{{Model: "lm", Version: "1"}}}, nil
}

func (f *plannedFleet) Load(context.Context) (endpoint.Load, error) {
	return endpoint.Load{Running: 8, MaxRunning: 16, PrefillRate: 8000, DecodeRate: 40}, nil
}

// engines is an endpoint client that returns the same engine for each address.
type engines struct{ *plannedFleet }

func (e engines) Engine(string) endpoint.Engine   { return e.plannedFleet }
func (e engines) Service(string) endpoint.Service { return nil }

// BenchmarkRound measures one round of the lease holder at the planned size,
// without the network and the encoding of the calls.
func BenchmarkRound(b *testing.B) {
	f := newPlannedFleet()
	t := &template.Template{Name: "t", Models: []template.Model{{Name: "lm", Version: "1", MinReplicas: 1000, MaxReplicas: 4000}}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	c := New(Config{Settle: 1}, Deps{
		Lease: f, HostList: f, Cloud: f, Endpoints: engines{f},
		Template: func() *template.Template { return t },
		Demand: func() []Demand {
			return []Demand{{Model: "lm", Version: "1", Streams: 8 * plannedReplicas, InFlight: 1}}
		},
		Log: logrus.NewEntry(log),
	})
	b.ReportAllocs()
	for b.Loop() {
		if err := c.round(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/(1<<20), "MB")
	runtime.KeepAlive(c)
}
