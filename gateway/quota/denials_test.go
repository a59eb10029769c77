package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Guards against refusing without a call what an owner might grant: smaller, more
// urgent and returning requests, and all of them once the refused one could have been served.
func TestRefusalAppliesToRequestsThatAreNotSmallerForAWhile(t *testing.T) {
	const maxDelay = 30 * time.Millisecond
	now := time.Unix(1000, 0)
	var d denials
	d.record(now, "a", "e1", peer.LimitRequest{Units: 5_000, Within: maxDelay}, rate.Reservation{Delay: 70 * time.Millisecond}, maxDenial)
	for _, c := range []struct {
		customer string
		units    float64
		after    time.Duration
		denied   bool
	}{
		{"a", 5_000, 10 * time.Millisecond, true},
		{"a", 9_000, 39 * time.Millisecond, true},
		{"a", 4_999, 10 * time.Millisecond, false},
		{"a", 9_000, 40 * time.Millisecond, false},
		{"b", 9_000, 0, false},
	} {
		got, denied := d.find(now.Add(c.after), c.customer, peer.LimitRequest{Units: c.units})
		qt.Check(t, denied, qt.Equals, c.denied, qt.Commentf("%+v", c))
		if denied {
			qt.Check(t, got.Delay, qt.Equals, 70*time.Millisecond-c.after)
			qt.Check(t, got.OK, qt.IsFalse)
		}
	}
	d.record(now, "d", "e1", peer.LimitRequest{Units: 5_000, Within: maxDelay, Urgency: 1}, rate.Reservation{Delay: time.Second}, maxDenial)
	for asked, denied := range map[peer.LimitRequest]bool{
		{Units: 5_000, Urgency: 2}:                  true,
		{Units: 5_000, Urgency: 0}:                  false,
		{Units: 5_000, Urgency: 1, Returning: true}: false,
	} {
		_, found := d.find(now, "d", asked)
		qt.Check(t, found, qt.Equals, denied, qt.Commentf("%+v", asked))
	}
	// A longer wait is asked for again.
	d.record(now, "c", "e1", peer.LimitRequest{Units: 5_000, Within: maxDelay}, rate.Reservation{Delay: 5 * time.Second}, maxDenial)
	_, denied := d.find(now.Add(maxDenial), "c", peer.LimitRequest{Units: 5_000})
	qt.Check(t, denied, qt.IsFalse)
}
