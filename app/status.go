package app

import (
	"context"

	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// statusSource reports the state of the deployment as this entry sees it.
type statusSource struct{ deps statusDeps }

type statusDeps struct {
	fx.In

	Settings   settings.Entry
	Registry   *member.Registry
	PeerStates *peerStates
	Fleet      *routing.Fleet
	Admission  *admission.Controller
	Watcher    *template.Watcher
	Gate       *Gate
	Drainer    *drainer
	Lease      *lease.Lease
}

func newStatusSource(d statusDeps) *statusSource { return &statusSource{deps: d} }

// Status implements operatorapi.StatusSource.
func (s *statusSource) Status(ctx context.Context) (operatorapi.Status, error) {
	drains, err := s.deps.Drainer.Drains(ctx)
	if err != nil {
		return operatorapi.Status{}, err
	}
	return operatorapi.Status{
		Entry:      s.deps.Settings.ID,
		Deployment: s.deps.Settings.Deployment,
		Entries:    s.entries(),
		Endpoints:  s.endpoints(),
		Customers:  s.customers(),
		Leases:     s.leases(),
		Drains:     drains,
	}, nil
}

// leases returns the control lease if this entry holds it. The other entries
// return their own leases.
func (s *statusSource) leases() []operatorapi.LeaseStatus {
	fence, held := s.deps.Lease.Held()
	if !held {
		return []operatorapi.LeaseStatus{}
	}
	return []operatorapi.LeaseStatus{{Name: controlLeaseName, Owner: s.deps.Settings.ID, Fence: fence}}
}

func (s *statusSource) entries() []operatorapi.EntryStatus {
	var out []operatorapi.EntryStatus
	for _, m := range s.deps.Registry.Members() {
		if m.ID == s.deps.Settings.ID {
			out = append(out, s.self())
			continue
		}
		out = append(out, s.other(m))
	}
	return out
}

func (s *statusSource) self() operatorapi.EntryStatus {
	return operatorapi.EntryStatus{
		ID:              s.deps.Settings.ID,
		FailureDomain:   s.deps.Settings.FailureDomain,
		TemplateVersion: s.deps.Watcher.Version(),
		Ready:           !s.deps.Gate.Closed() && s.deps.Watcher.Ready() && s.deps.Watcher.Fresh(),
		Draining:        s.deps.Gate.Closed(),
		InFlight:        s.deps.Gate.InFlight(),
	}
}

func (s *statusSource) other(m member.Member) operatorapi.EntryStatus {
	state := s.deps.PeerStates.state(m.ID)
	return operatorapi.EntryStatus{
		ID:              m.ID,
		FailureDomain:   m.FailureDomain,
		TemplateVersion: state.Templates[s.deps.Settings.Deployment],
		Ready:           m.State == member.Live,
		Draining:        m.State == member.Leaving,
		InFlight:        state.InFlight,
	}
}

func (s *statusSource) endpoints() []operatorapi.EndpointStatus {
	var out []operatorapi.EndpointStatus
	for _, e := range s.deps.Fleet.Endpoints() {
		state := "live"
		switch {
		case e.Leaving:
			state = "leaving"
		case e.Ejected:
			state = "ejected"
		}
		out = append(out, operatorapi.EndpointStatus{
			ID:            e.Endpoint.ID,
			HostID:        e.HostID,
			FailureDomain: e.FailureDomain,
			Addr:          e.Endpoint.Addr,
			Name:          e.Endpoint.Name,
			Version:       e.Endpoint.Version,
			State:         state,
			InFlight:      e.InFlight,
			Reason:        e.LeavingReason,
		})
	}
	return out
}

// customers sums up the demand of each customer over all entries.
func (s *statusSource) customers() []operatorapi.CustomerStatus {
	t := s.deps.Watcher.Current()
	if t == nil {
		return nil
	}
	states := []peer.EntryState{ownState(s.deps.Admission, s.deps.Gate)}
	for _, m := range s.deps.Registry.Members() {
		if m.ID != s.deps.Settings.ID {
			states = append(states, s.deps.PeerStates.state(m.ID))
		}
	}
	var out []operatorapi.CustomerStatus
	for _, c := range t.Customers {
		row := operatorapi.CustomerStatus{Name: c.Name, CeilingPerHour: c.CostPerHour}
		for _, state := range states {
			row.TokensPerSecond += state.Demand[c.Name].TokensPerSecond
			row.SpendPerHour += state.Demand[c.Name].SpendPerHour
		}
		out = append(out, row)
	}
	return out
}
