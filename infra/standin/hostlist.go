package standin

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// HostListFaults are the faults of a HostList. The zero value has none.
type HostListFaults struct {
	CallFaults
	// Lag is the age of the returned list.
	Lag time.Duration `json:"lag_ns"`
}

// HostList implements infra.HostList. It is safe for concurrent use.
type HostList struct {
	faultSwitch[HostListFaults]
	fleet *fleet
}

// Hosts implements infra.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]infra.Host, error) {
	faults := l.Faults()
	if err := faults.beginCall(ctx, "host list"); err != nil {
		return nil, err
	}
	return l.fleet.asOf(faults.Lag), nil
}

// Put adds or replaces hosts, all at once.
func (l *HostList) Put(hosts ...infra.Host) { l.fleet.put(hosts...) }

// Remove removes a host from the list.
func (l *HostList) Remove(id string) { l.fleet.remove(id) }
