package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// manyReplicas returns a Balancer over a number of engines, and a function that sends
// a request whose prompt part is in no cache.
func manyReplicas(n int) func() {
	set := replica.NewSet(nolog.Or(nil))
	for i := range n {
		set.Put(replica.Registration{ID: fmt.Sprint("i-", i), Service: "s", FailureDomain: fmt.Sprint(i % 3), Slots: 16, Incarnation: 1})
	}
	b := New(set, Options{FailureDomain: "0", Log: nolog.Or(nil)})
	part := uint64(0)
	return func() {
		part++
		q := Query{Service: "s", Slots: 16, PromptTokens: 2368 + int(part%7)*2000, LatencyObjective: 400 * time.Millisecond, Parts: []Part{{part, 568}}}
		c, err := b.Choose(q)
		if err != nil {
			panic(err)
		}
		t := b.Begin(q, c)
		t.FirstTokenReceived()
		t.End(Answered)
	}
}

// The home replicas of a part were searched anew for each candidate: a choice among 1,000
// replicas took 27 ms.
func TestTimeOfAChoiceIsLinearInTheReplicas(t *testing.T) {
	shortest := func(n int) time.Duration {
		send := manyReplicas(n)
		least := time.Hour
		for range 20 {
			start := time.Now()
			send()
			least = min(least, time.Since(start))
		}
		return least
	}
	few, many := shortest(100), shortest(1600)
	qt.Assert(t, many < 64*few, qt.IsTrue, qt.Commentf("100 replicas: %v, 1600: %v", few, many))
}

func BenchmarkChooseAmongMany(b *testing.B) {
	for _, n := range []int{90, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			send := manyReplicas(n)
			for b.Loop() {
				send()
			}
		})
	}
}
