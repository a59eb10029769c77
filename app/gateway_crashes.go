package app

import (
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/liveness"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

func newQuarantine(s gateway.Settings, peers *ownerPeers, set *replica.Set, m *telemetry.Metrics, log *logrus.Entry) *quarantine.Set {
	return quarantine.New(quarantine.Options{
		ID: s.ID, Members: peers.Members,
		Ready: func(service string) []*replica.Replica { return set.Current().Ready[service] },
		Log:   log, Count: m.Quarantined,
	})
}

func newLiveness(lc fx.Lifecycle, n Network, set *replica.Set, m *telemetry.Metrics, log *logrus.Entry) *liveness.Watcher {
	w := liveness.New(liveness.Options{Dial: n.Dial, Registry: set, Log: log, Count: m.Suspected})
	lc.Append(fx.StopHook(w.Close))
	return w
}
