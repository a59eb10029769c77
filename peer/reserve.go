package peer

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

// reserveParams requests units of a customer's limit.
type reserveParams struct {
	Customer string  `json:"c"`
	Units    float64 `json:"n"`
	// WithinMS is how long the request may wait for the units.
	WithinMS int64 `json:"p,omitempty"`
	// Replicated is set if the sender may ask either owner of the limit.
	Replicated bool `json:"r,omitempty"`
	// UrgencyPlus1 is the urgency of the request plus 1. It is 0 if the sender, a peer
	// of an earlier release, doesn't state it.
	UrgencyPlus1 int `json:"u,omitempty"`
	// Returning is set if the request returns after a refusal.
	Returning bool `json:"b,omitempty"`
	// Levels are the levels of limits that the sender and the peer own. Customer is
	// empty then. They come with this method because a peer of an earlier release
	// refuses unknown ones, and answers this one that it is not the owner.
	Levels []LimitLevel `json:"l,omitempty"`
}

// reserveResult is the reply to reserveParams.
type reserveResult struct {
	// WaitMS is the delay until the units are available. 0 means that they were
	// reserved without a delay, unless NotOwner is set.
	WaitMS int64 `json:"w,omitempty"`
	// Reserved is set if the units were reserved, whatever the delay.
	Reserved bool `json:"t,omitempty"`
	// NotOwner is set if the peer is not the owner of the limit.
	NotOwner bool `json:"e,omitempty"`
	// Levels answers those of reserveParams.
	Levels []LimitLevel `json:"l,omitempty"`
}

// Reserve reserves units of a customer's limit at the owner of the limit if
// they become available within the given time. The second result is false if
// the peer is not the owner. After an error the units may have been reserved.
func (m *Mesh) Reserve(ctx context.Context, peer, customer string, units float64, within time.Duration) (rate.Reservation, bool, error) {
	return m.reserve(ctx, peer, reserveParams{Customer: customer, Units: units, WithinMS: within.Milliseconds()})
}

func (m *Mesh) reserve(ctx context.Context, peer string, p reserveParams) (rate.Reservation, bool, error) {
	var result reserveResult
	err := m.callCached(ctx, peer, methodReserve, p, &result)
	r := rate.Reservation{OK: result.Reserved || result.WaitMS == 0, Delay: time.Duration(result.WaitMS) * time.Millisecond}
	return r, !result.NotOwner, err
}

// ExchangeLevels sends levels of limits to the other owner of them, and returns its
// own.
func (m *Mesh) ExchangeLevels(ctx context.Context, peer string, levels []LimitLevel) ([]LimitLevel, error) {
	var result reserveResult
	err := m.callCached(ctx, peer, methodReserve, reserveParams{Levels: levels}, &result)
	return result.Levels, err
}

// UnknownUrgency is that of requests from peers that don't state it.
const UnknownUrgency = -1

// LimitRequest is a request for units of a customer's limit at either of its owners.
type LimitRequest struct {
	Units float64
	// Within is how long the request may wait for the units.
	Within time.Duration
	// Urgency is that of the request's route. 0 is the highest.
	Urgency int
	// Returning is set if the request returns after a refusal.
	Returning bool
}

// ReserveReplicated is Reserve at either owner of a limit.
func (m *Mesh) ReserveReplicated(ctx context.Context, peer, customer string, r LimitRequest) (rate.Reservation, bool, error) {
	return m.reserve(ctx, peer, reserveParams{
		Customer: customer, Units: r.Units, WithinMS: r.Within.Milliseconds(), Replicated: true,
		UrgencyPlus1: max(0, r.Urgency+1), Returning: r.Returning,
	})
}

func (p reserveParams) request() LimitRequest {
	return LimitRequest{
		Units: p.Units, Within: time.Duration(p.WithinMS) * time.Millisecond,
		Urgency: max(UnknownUrgency, p.UrgencyPlus1-1), Returning: p.Returning,
	}
}

func (h Handlers) levels(from string, levels []LimitLevel) []LimitLevel {
	if h.Levels == nil {
		return nil
	}
	return h.Levels(from, levels)
}
