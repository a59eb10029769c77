package app

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollup"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/room"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

const (
	// roomViewPeriod is the interval at which the sum of the other entries is read.
	// New sums arrive every half second.
	roomViewPeriod = 250 * time.Millisecond
	// capacityTTL is how long a computed capacity is used while the registry doesn't
	// change.
	capacityTTL = 100 * time.Millisecond
	// coldSpeed is the speed of a replica that is still slow after its start.
	coldSpeed = 0.67
)

// roomControl is the admission control of the services of an entry.
type roomControl struct {
	control  *room.Controller
	replicas *replica.Set
	config   *config.Holder
	// speed returns the speed of a replica relative to the mean of its service. If it
	// is nil, all replicas are equally fast.
	speed func(r *replica.Replica) float64
	// on is set while the deployment is so large that its loads are summed.
	on atomic.Bool

	mu         sync.Mutex
	capacities map[string]cachedCapacity
}

type cachedCapacity struct {
	room.Capacity
	snapshot *replica.Snapshot
	at       time.Time
}

func newRoomControl(set *replica.Set, c *config.Holder, speeds *speed.Estimator, m *telemetry.Metrics, log *logrus.Entry) *roomControl {
	r := &roomControl{replicas: set, config: c, capacities: make(map[string]cachedCapacity)}
	r.speed = func(x *replica.Replica) float64 {
		if !speeds.Uneven(time.Now(), x.Service) {
			return 1
		}
		return speeds.Of(time.Now(), x.Service, x.ID, x.Incarnation).Prefill
	}
	r.control = room.New(room.Options{
		Capacity: r.capacity, Seed: rand.Uint64(), Log: log, Count: m.RoomDecided, Expected: m.RoomExpected,
	})
	return r
}

// of returns the admission control of a service, or nil. Plain services whose replicas
// aren't ordered by the scaling controller have none.
func (r *roomControl) of(s config.Service) *room.Controller {
	if !r.on.Load() || s.Engine == nil && s.Scaling == nil {
		return nil
	}
	return r.control
}

// demand returns the demand that this entry reports.
func (r *roomControl) demand() map[string]peer.ServiceDemand {
	if !r.on.Load() {
		return nil
	}
	return r.control.Report(time.Now())
}

// capacity returns what the ready replicas of a service can do.
func (r *roomControl) capacity(service string) room.Capacity {
	now, current := time.Now(), r.replicas.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.capacities[service]
	if cached.snapshot != current || now.Sub(cached.at) >= capacityTTL {
		cached = cachedCapacity{Capacity: r.compute(service, current, now), snapshot: current, at: now}
		r.capacities[service] = cached
	}
	return cached.Capacity
}

func (r *roomControl) compute(service string, current *replica.Snapshot, now time.Time) room.Capacity {
	var s config.Service
	if c := r.config.Current(); c != nil {
		s = c.Services[service]
	}
	var out room.Capacity
	for _, x := range current.Ready[service] {
		slots, speed := x.Slots, 1.0
		if s.Engine != nil {
			slots = max(slots, s.Engine.Slots)
		}
		if r.speed != nil {
			speed = r.speed(x)
		}
		if x.ColdRemaining > now.Sub(x.Seen) {
			speed *= coldSpeed
		}
		out.Slots += slots
		out.Replicas += speed
	}
	if since := r.replicas.LeavingSince(service); !since.IsZero() && s.Scaling != nil {
		// Replacements were ordered as the first one began to leave.
		out.StartsIn = max(0, s.Scaling.Boot-now.Sub(since))
		for _, x := range current.All {
			if x.Service == service {
				out.Starting++
			}
		}
		out.Starting -= float64(len(current.Ready[service]))
	}
	return out
}

// runRoom updates the view over all entries.
func runRoom(lc fx.Lifecycle, l *Loops, s gateway.Settings, r *roomControl, loads *rollup.Rollup, registry *member.Registry) {
	if !s.Room {
		return
	}
	l.Every(lc, roomViewPeriod, func(context.Context) {
		members := len(registry.Members())
		r.on.Store(members > maxDirectReaders)
		if members <= maxDirectReaders {
			return
		}
		sum, age, known := loads.Others()
		r.control.SetView(time.Now(), room.View{
			Age: age + rollup.MeanReportAge, Members: members, Known: known, Services: sum.Demand,
		})
	})
}
