package standin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// maxSnapshots bounds the past states that are retained for delayed host lists.
const maxSnapshots = 1024

// fleet holds the current and past states of the hosts, shared by the host list
// and the cloud API.
type fleet struct {
	mu      sync.Mutex
	hosts   map[string]infra.Host
	history []snapshot
}

// snapshot is the state of the fleet from since until the next snapshot.
type snapshot struct {
	since time.Time
	hosts []infra.Host
}

func newFleet() *fleet {
	return &fleet{hosts: make(map[string]infra.Host)}
}

func (f *fleet) get(id string) (infra.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosts[id]
	return h, ok
}

func (f *fleet) put(hosts ...infra.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hosts {
		f.hosts[h.ID] = h
	}
	f.recordLocked()
}

func (f *fleet) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, id)
	f.recordLocked()
}

func (f *fleet) recordLocked() {
	hosts := make([]infra.Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b infra.Host) int { return strings.Compare(a.ID, b.ID) })
	f.history = append(f.history, snapshot{since: time.Now(), hosts: hosts})
	if len(f.history) > maxSnapshots {
		f.history = slices.Delete(f.history, 0, len(f.history)-maxSnapshots)
	}
}

// asOf returns the hosts as they were lag ago, sorted by ID. For times before
// the oldest snapshot it returns that snapshot, so that the initial hosts are
// listed at once in spite of the lag.
func (f *fleet) asOf(lag time.Duration) []infra.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.history) == 0 {
		return nil
	}
	at := time.Now().Add(-lag)
	hosts := f.history[0].hosts
	for _, s := range f.history {
		if s.since.After(at) {
			break
		}
		hosts = s.hosts
	}
	return slices.Clone(hosts)
}
