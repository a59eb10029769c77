package app

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollup"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// aggregatorsPerDomain is the number of entries of a failure domain that may
// sum the loads of the others in it, so that one of them may fail.
const aggregatorsPerDomain = 2

// rollupPeers implements rollup.Peers.
type rollupPeers struct {
	registry *member.Registry
	// mesh is set by newGatewayMesh, which depends on the rollup.
	mesh *peer.Mesh
}

func newRollupPeers(r *member.Registry) *rollupPeers { return &rollupPeers{registry: r} }

func newRollup(s gateway.Settings, b *balance.Balancer, speeds *speed.Estimator, room *roomControl, set *replica.Set, peers *rollupPeers, log *logrus.Entry) *rollup.Rollup {
	return rollup.New(rollup.Options{
		ID: s.ID, FailureDomain: s.FailureDomain, Peers: peers, Log: log,
		Own: func() peer.Load {
			return peer.Load{Services: b.OwnLoadByService(), Outcomes: b.OwnOutcomes(), Speeds: speeds.Report(time.Now()), Demand: room.demand()}
		},
		Incarnation: func(id string) (int64, bool) {
			r := set.Current().All[id]
			if r == nil {
				return 0, false
			}
			return r.Incarnation, true
		},
	})
}

// Aggregators implements rollup.Peers. It returns none in a deployment in which
// all members send each other their load by replica.
func (p *rollupPeers) Aggregators() map[string][]string {
	return aggregators(p.registry.Members())
}

func aggregators(members []member.Member) map[string][]string {
	if len(members) <= maxDirectReaders {
		return nil
	}
	out := make(map[string][]string)
	for _, m := range members {
		if m.State == member.Live {
			out[m.FailureDomain] = append(out[m.FailureDomain], m.ID)
		}
	}
	for domain, ids := range out {
		sortByHash(ids, "aggregator")
		out[domain] = ids[:min(len(ids), aggregatorsPerDomain)]
	}
	return out
}

// Exchange implements rollup.Peers.
func (p *rollupPeers) Exchange(ctx context.Context, id string, r peer.LoadReport) (peer.LoadSum, error) {
	return p.mesh.ExchangeLoads(ctx, id, r)
}

func runRollup(lc fx.Lifecycle, l *Loops, r *rollup.Rollup) { l.Go(lc, r.Run) }

// runSpeeds hands the samples of the other entries to the estimator of speeds. In a
// deployment without rollup each entry learns alone.
func runSpeeds(lc fx.Lifecycle, l *Loops, peers *rollupPeers, r *rollup.Rollup, speeds *speed.Estimator) {
	l.Every(lc, gatewayStatePeriod, func(context.Context) {
		if peers.Aggregators() == nil {
			speeds.SetPeers(time.Now(), nil, 0)
			return
		}
		if sum, age := r.Speeds(); sum != nil {
			speeds.SetPeers(time.Now(), sum, age)
		}
	})
}

// currentLoads returns the load that the other entries put on replicas: the sum
// of the rollup if it is known, and else what their last states say.
func currentLoads(states map[string]receivedState, m *peer.Mesh, r *rollup.Rollup) []balance.PeerLoad {
	loads := peerLoads(states, m.PropagationDelay()+gatewayStatePeriod/2)
	sum, age, known := r.Others()
	if !known {
		return loads
	}
	for i := range loads {
		// The sum contains the load of these entries.
		loads[i].Endpoints, loads[i].Services = nil, nil
	}
	return append(loads, balance.PeerLoad{Age: age + rollup.MeanReportAge, Services: sum.Services, Outcomes: sum.Outcomes})
}
