package admission

import "time"

const (
	// spendSlot is the resolution of the spend window.
	spendSlot  = time.Minute
	spendSlots = 60
)

// spendWindow sums the cost of the last hour.
type spendWindow struct {
	slots [spendSlots]float64
	// last is the number of the most recent slot, counted from origin, the
	// time of the first use.
	last   int64
	origin time.Time
}

func (w *spendWindow) add(now time.Time, cost float64) {
	w.roll(now)
	w.slots[w.last%spendSlots] += cost
}

func (w *spendWindow) total(now time.Time) float64 {
	w.roll(now)
	sum := 0.0
	for _, s := range w.slots {
		sum += s
	}
	return sum
}

// wait returns how long it takes until the total falls below the ceiling if
// nothing more is spent.
func (w *spendWindow) wait(now time.Time, ceiling float64) time.Duration {
	sum := w.total(now)
	for i := int64(1); i <= spendSlots; i++ {
		if sum < ceiling {
			return time.Duration(i-1) * spendSlot
		}
		sum -= w.slots[(w.last+i)%spendSlots]
	}
	return spendSlots * spendSlot
}

// roll clears the slots that have left the window and advances to the current
// one.
func (w *spendWindow) roll(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	current := int64(now.Sub(w.origin) / spendSlot)
	if current-w.last >= spendSlots {
		w.slots = [spendSlots]float64{}
		w.last = current
	}
	for w.last < current {
		w.last++
		w.slots[w.last%spendSlots] = 0
	}
}
