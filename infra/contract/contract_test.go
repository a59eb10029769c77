package contract_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/contract"
	"github.com/coltsfootcleat/coltsfootcleat/infra/rest"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
)

// faults maps each fault of the contract to the faults of the stand-in that
// implement it.
var faults = map[contract.Fault]standin.Faults{
	contract.FaultNone:        {},
	contract.FaultOutage:      onAllServices(standin.CallFaults{Outage: true}),
	contract.FaultHang:        onAllServices(standin.CallFaults{Hang: true}),
	contract.FaultLostAnswer:  {Table: standin.TableFaults{LoseAnswer: 1}, Objects: standin.ObjectFaults{LoseAnswer: 1}},
	contract.FaultLostRequest: {Table: standin.TableFaults{LoseRequest: 1}},
	contract.FaultLateRequest: {Table: standin.TableFaults{LoseRequest: 1, LateCommitDelay: 10 * time.Second}},
}

// onAllServices returns the faults with f on every service.
func onAllServices(f standin.CallFaults) standin.Faults {
	return standin.Faults{
		Table:       standin.TableFaults{Outage: f.Outage, Hang: f.Hang},
		Objects:     standin.ObjectFaults{CallFaults: f},
		HostList:    standin.HostListFaults{CallFaults: f},
		Cloud:       standin.CloudFaults{CallFaults: f},
		WeightStore: standin.WeightStoreFaults{CallFaults: f},
	}
}

func newPlatform(t *testing.T) (*standin.Platform, contract.Fixture) {
	p := standin.NewPlatform(1)
	p.WeightStore = standin.NewWeightStore(6, 1)
	t.Cleanup(p.Close)
	return p, contract.Fixture{
		SetFault: func(f contract.Fault) { p.SetFaults(faults[f]) },
		SetHosts: func(hosts ...infra.Host) { p.HostList.Put(hosts...) },
		SetListLag: func(lag time.Duration) {
			p.HostList.SetFaults(standin.HostListFaults{Lag: lag})
		},
		SetOffers: func(offers ...infra.Offer) { p.Cloud.SetOffers(offers) },
		Refuse: func(domain string) {
			p.Cloud.SetFaults(standin.CloudFaults{RefuseDomains: []string{domain}})
		},
		Announce: func(hostID string, remaining, delay time.Duration, twice bool) {
			p.Cloud.SetFaults(standin.CloudFaults{NoticeDelay: delay, NoticeTwice: twice})
			p.Cloud.Announce(hostID, remaining)
		},
		Publish: p.WeightStore.Publish,
	}
}

func TestInMemory(t *testing.T) {
	contract.Run(t, func(t *testing.T) contract.Fixture {
		p, f := newPlatform(t)
		f.Table, f.Objects, f.HostList, f.Cloud, f.WeightStore = p.Table, p.Objects, p.HostList, p.Cloud, p.WeightStore
		return f
	})
}

func TestOverHTTP(t *testing.T) {
	contract.Run(t, func(t *testing.T) contract.Fixture {
		p, f := newPlatform(t)
		network := memnet.New()
		l, err := network.Listen("10.0.0.1:80")
		qt.Assert(t, err, qt.IsNil)
		server := &http.Server{Handler: p.Handler()}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		client := rest.New("http://10.0.0.1:80", network.Dialer("10.0.0.2"), time.Minute)
		t.Cleanup(client.Close)
		f.Table, f.Objects, f.HostList = client.Table(), client.Objects(), client.HostList()
		f.Cloud, f.WeightStore = client.Cloud(), client.WeightStore()
		return f
	})
}
