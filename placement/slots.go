package placement

import (
	"context"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// load is a model version on an endpoint; slots are not bound to one.
type load struct{ endpoint, model, version string }

// slots are reservations of the weight store. Those that are not due yet, or
// were not used, wait for the next load of their version.
type slots struct {
	store infra.WeightStore
	due   map[load][]time.Time
	// wanted counts the loads that asked in this round.
	wanted map[load]int
}

func newSlots(store infra.WeightStore) *slots {
	return &slots{store: store, due: make(map[load][]time.Time), wanted: make(map[load]int)}
}

// begin starts a round.
func (s *slots) begin() { clear(s.wanted) }

// take uses a slot that is due now. Without one it sees to it that each load
// that asked in this round has a slot reserved, and returns false.
func (s *slots) take(ctx context.Context, model, version string, now time.Time) (bool, error) {
	k := load{model: model, version: version}
	for i, due := range s.due[k] {
		if !now.Before(due) {
			s.due[k] = slices.Delete(s.due[k], i, i+1)
			return true, nil
		}
	}
	s.wanted[k]++
	if len(s.due[k]) >= s.wanted[k] {
		return false, nil
	}
	wait, err := s.store.Reserve(ctx, model, version)
	if err != nil {
		return false, err
	}
	if wait <= 0 {
		s.wanted[k]--
		return true, nil
	}
	s.due[k] = append(s.due[k], now.Add(wait))
	return false, nil
}

// giveBack keeps a slot that was not used for the next load.
func (s *slots) giveBack(model, version string, now time.Time) {
	k := load{model: model, version: version}
	s.due[k] = append(s.due[k], now)
}
