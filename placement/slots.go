package placement

import (
	"context"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// loadKey identifies a model version on an endpoint. The keys of slots have no
// endpoint, because a slot can be used on any.
type loadKey struct{ endpoint, model, version string }

// slots holds reservations to load weights from the weight store. Each is used
// by the next load of its version once it is due. A slot that was returned is
// due at once.
type slots struct {
	store infra.WeightStore
	dueAt map[loadKey][]time.Time
	// waiting counts the loads that got no slot in this round.
	waiting map[loadKey]int
}

func newSlots(store infra.WeightStore) *slots {
	return &slots{store: store, dueAt: make(map[loadKey][]time.Time), waiting: make(map[loadKey]int)}
}

// beginRound resets the counts of waiting loads for a new round.
func (s *slots) beginRound() { clear(s.waiting) }

// takeOrReserve takes a slot that is due and returns true. If none is due, it
// ensures that there is a reservation for each load that waits in this round,
// and returns false. If a new reservation is due at once, it takes that one and
// returns true.
func (s *slots) takeOrReserve(ctx context.Context, model, version string, now time.Time) (bool, error) {
	k := loadKey{model: model, version: version}
	for i, due := range s.dueAt[k] {
		if !now.Before(due) {
			s.dueAt[k] = slices.Delete(s.dueAt[k], i, i+1)
			return true, nil
		}
	}
	s.waiting[k]++
	if len(s.dueAt[k]) >= s.waiting[k] {
		return false, nil
	}
	wait, err := s.store.Reserve(ctx, model, version)
	if err != nil {
		return false, err
	}
	if wait <= 0 {
		s.waiting[k]--
		return true, nil
	}
	s.dueAt[k] = append(s.dueAt[k], now.Add(wait))
	return false, nil
}

// returnSlot returns a slot that was not used, for the next load.
func (s *slots) returnSlot(model, version string, now time.Time) {
	k := loadKey{model: model, version: version}
	s.dueAt[k] = append(s.dueAt[k], now)
}
