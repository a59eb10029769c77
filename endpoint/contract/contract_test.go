package contract_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/contract"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/rest"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

// Addresses of the fixtures.
const (
	engineAddr = "10.0.0.1:80"
	otherAddr  = "10.0.0.2:80"
	clientIP   = "10.0.0.3"
)

// engineFaults and serviceFaults map each fault of the contract to the faults
// of the stand-ins that implement it.
var (
	engineFaults = map[contract.Fault]standin.EngineFaults{
		contract.FaultNone:          {},
		contract.FaultDeath:         {Dead: true},
		contract.FaultHang:          {Hang: true},
		contract.FaultCut:           {CutStream: 1},
		contract.FaultLate:          {LateFrame: 0.5},
		contract.FaultRepeat:        {RepeatFrame: 0.5},
		contract.FaultDrop:          {DropFrame: 0.5},
		contract.FaultCross:         {CrossFrame: 0.5},
		contract.FaultWrongTotal:    {WrongTotal: 1},
		contract.FaultLostEvents:    {LoseEvent: 0.3},
		contract.FaultRefusedOrders: {RefuseOrders: true},
	}
	serviceFaults = map[contract.Fault]standin.ServiceFaults{
		contract.FaultNone:      {},
		contract.FaultDeath:     {Dead: true},
		contract.FaultDieBefore: {DieBefore: 1},
		contract.FaultDieAfter:  {DieAfter: 1},
		contract.FaultSlow:      {ExtraLatency: time.Hour},
	}
)

// serve serves a handler in the test's synctest bubble until the test ends.
func serve(t *testing.T, network *memnet.Network, address string, h http.Handler) {
	l, err := network.Listen(address)
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// newEngines starts two engines and serves them. The caller sets Engine and
// Other of the fixture.
func newEngines(t *testing.T, network *memnet.Network, o contract.EngineOptions) (a, b *standin.Engine, f contract.EngineFixture) {
	start := func(address string) *standin.Engine {
		e := standin.NewEngine(standin.EngineConfig{
			Model: contract.Model, Version: contract.Version, PrefillRate: 1000, DecodeRate: 40,
			MaxRunning: contract.MaxRunning, KVBytesPerToken: 1000, KVBandwidth: 1e6, LoadTime: 10 * time.Second,
			Retention: time.Minute, ChecksFence: o.ChecksFence, Addr: address, Dial: network.Dialer("10.0.0.9"), Seed: 1,
		})
		t.Cleanup(e.Close)
		serve(t, network, address, e.Handler())
		return e
	}
	a, b = start(engineAddr), start(otherAddr)
	return a, b, contract.EngineFixture{
		Answer: func(messages []endpoint.Message, tokens int) string {
			return standin.Answer(contract.Model, contract.Version, prefix.Text(messages), tokens)
		},
		Tokens: func(messages []endpoint.Message, maxTokens int) int {
			return standin.AnswerTokens(prefix.Text(messages), maxTokens)
		},
		SetFault: func(f contract.Fault) { a.SetFaults(engineFaults[f]) },
	}
}

func TestEngineInMemory(t *testing.T) {
	contract.RunEngine(t, func(t *testing.T, o contract.EngineOptions) contract.EngineFixture {
		a, b, f := newEngines(t, memnet.New(), o)
		f.Engine, f.Other = a, b
		return f
	})
}

func TestEngineOverHTTP(t *testing.T) {
	contract.RunEngine(t, func(t *testing.T, o contract.EngineOptions) contract.EngineFixture {
		network := memnet.New()
		_, _, f := newEngines(t, network, o)
		client := rest.NewClient(network.Dialer(clientIP))
		t.Cleanup(client.Close)
		f.Engine, f.Other = client.Engine(engineAddr), client.Engine(otherAddr)
		return f
	})
}

func newService(o contract.ServiceOptions) (*standin.Service, contract.ServiceFixture) {
	s := standin.NewService(standin.ServiceConfig{Name: "orders", Lookup: o.Lookup, ChecksFence: o.ChecksFence, Seed: 1})
	return s, contract.ServiceFixture{
		Executions: s.Executions,
		Last:       s.Last,
		SetFault:   func(f contract.Fault) { s.SetFaults(serviceFaults[f]) },
	}
}

func TestServiceInMemory(t *testing.T) {
	contract.RunService(t, func(_ *testing.T, o contract.ServiceOptions) contract.ServiceFixture {
		s, f := newService(o)
		f.Service = s
		return f
	})
}

func TestServiceOverHTTP(t *testing.T) {
	contract.RunService(t, func(t *testing.T, o contract.ServiceOptions) contract.ServiceFixture {
		network := memnet.New()
		s, f := newService(o)
		serve(t, network, engineAddr, s.Handler())
		client := rest.NewClient(network.Dialer(clientIP))
		t.Cleanup(client.Close)
		f.Service = client.Service(engineAddr)
		return f
	})
}
