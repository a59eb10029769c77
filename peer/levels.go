package peer

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

// LimitLevel is what one of the two owners of a customer's limit knows of the units
// that are left.
type LimitLevel struct {
	Customer string `json:"c"`
	// Process identifies a process among those that an entry has run.
	Process uint64 `json:"p"`
	// Quality orders levels by what they are based on. At 0 the level is unknown.
	Quality int `json:"q,omitempty"`
	// Units is the number of units left, which may be negative.
	Units float64 `json:"u,omitempty"`
	// Granted is the number of units that the process has granted in total.
	Granted float64 `json:"g,omitempty"`
	// Included is the part of the units granted by the process IncludedOf, of the
	// receiver, that Units takes into account.
	Included   float64 `json:"i,omitempty"`
	IncludedOf uint64  `json:"o,omitempty"`
	// Asked is the number of units that the process is asked for per second.
	Asked float64 `json:"a,omitempty"`
}

// ExchangeLevels sends levels of limits to the other owner of them, and returns its
// own.
func (m *Mesh) ExchangeLevels(ctx context.Context, peer string, levels []LimitLevel) ([]LimitLevel, error) {
	var result reserveResult
	err := m.callCached(ctx, peer, methodReserve, reserveParams{Levels: levels}, &result)
	return result.Levels, err
}

// ReserveReplicated is Reserve at either owner of a limit.
func (m *Mesh) ReserveReplicated(ctx context.Context, peer, customer string, units float64, within time.Duration) (rate.Reservation, bool, error) {
	return m.reserve(ctx, peer, reserveParams{Customer: customer, Units: units, WithinMS: within.Milliseconds(), Replicated: true})
}

func (h Handlers) levels(from string, levels []LimitLevel) []LimitLevel {
	if h.Levels == nil {
		return nil
	}
	return h.Levels(from, levels)
}
