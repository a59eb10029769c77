package app

import (
	"context"

	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// statusSource tells the state of the deployment as this entry sees it.
type statusSource struct{ statusDeps }

type statusDeps struct {
	fx.In

	Settings  settings.Entry
	Registry  *member.Registry
	Digests   *peerDigests
	Fleet     *routing.Fleet
	Admission *admission.Controller
	Watcher   *template.Watcher
	Gate      *Gate
	Drainer   *drainer
}

func newStatusSource(d statusDeps) *statusSource { return &statusSource{d} }

// Status implements operatorapi.StatusSource.
func (s *statusSource) Status(ctx context.Context) (operatorapi.Status, error) {
	drains, err := s.Drainer.Drains(ctx)
	if err != nil {
		return operatorapi.Status{}, err
	}
	return operatorapi.Status{
		Entry:      s.Settings.ID,
		Deployment: s.Settings.Deployment,
		Entries:    s.entries(),
		Endpoints:  s.endpoints(),
		Customers:  s.customers(),
		Leases:     []operatorapi.LeaseStatus{},
		Drains:     drains,
	}, nil
}

func (s *statusSource) entries() []operatorapi.EntryStatus {
	var out []operatorapi.EntryStatus
	for _, m := range s.Registry.Members() {
		if m.ID == s.Settings.ID {
			out = append(out, s.self())
			continue
		}
		out = append(out, s.other(m))
	}
	return out
}

func (s *statusSource) self() operatorapi.EntryStatus {
	return operatorapi.EntryStatus{
		ID:              s.Settings.ID,
		FailureDomain:   s.Settings.FailureDomain,
		TemplateVersion: s.Watcher.Version(),
		Ready:           !s.Gate.Closed() && s.Watcher.Ready() && s.Watcher.Fresh(),
		Draining:        s.Gate.Closed(),
		InFlight:        s.Gate.Inside(),
	}
}

func (s *statusSource) other(m member.Member) operatorapi.EntryStatus {
	d := s.Digests.of(m.ID)
	return operatorapi.EntryStatus{
		ID:              m.ID,
		FailureDomain:   m.FailureDomain,
		TemplateVersion: d.Templates[s.Settings.Deployment],
		Ready:           m.State == member.Live,
		Draining:        m.State == member.Leaving,
		InFlight:        d.InFlight,
	}
}

func (s *statusSource) endpoints() []operatorapi.EndpointStatus {
	var out []operatorapi.EndpointStatus
	for _, e := range s.Fleet.Endpoints() {
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

// customers sums up the demand of all entries.
func (s *statusSource) customers() []operatorapi.CustomerStatus {
	t := s.Watcher.Current()
	if t == nil {
		return nil
	}
	digests := []peer.Digest{ownDigest(s.Admission, s.Gate)}
	for _, m := range s.Registry.Members() {
		if m.ID != s.Settings.ID {
			digests = append(digests, s.Digests.of(m.ID))
		}
	}
	var out []operatorapi.CustomerStatus
	for _, c := range t.Customers {
		row := operatorapi.CustomerStatus{Name: c.Name, CeilingPerHour: c.CostPerHour}
		for _, d := range digests {
			row.TokensPerSecond += d.Demand[c.Name].TokensPerSecond
			row.SpendPerHour += d.Demand[c.Name].SpendPerHour
		}
		out = append(out, row)
	}
	return out
}
