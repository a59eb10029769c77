package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	modelSlots    = 144
	modelPrefill  = 100 * time.Millisecond
	urgentDecode  = time.Second
	patientDecode = 2 * time.Second
	// modelCapacity is the request rate, per second, at which all slots are
	// in use when one request in five is urgent.
	modelCapacity   = modelSlots / (0.1 + 0.2*1 + 0.8*2)
	urgentDeadline  = 460 * time.Millisecond
	patientDeadline = 10 * time.Second
	reportEvery     = 100 * time.Millisecond
	// Tokens are proportional to the time that a request holds a slot.
	urgentTokens  = 220
	patientTokens = 420
)

// engines simulates the endpoints of a model: a number of slots that serve
// urgent requests first.
type engines struct {
	mu      sync.Mutex
	free    int
	waiting [ranks][]chan struct{}
	// reportedFree is the number of free slots in the last load report.
	// startedSince counts, by entry, the requests started after that report.
	reportedFree int
	startedSince []int
}

func (e *engines) acquire(entry, rank int) {
	e.mu.Lock()
	e.startedSince[entry]++
	if e.free > 0 {
		e.free--
		e.mu.Unlock()
		return
	}
	turn := make(chan struct{})
	e.waiting[rank] = append(e.waiting[rank], turn)
	e.mu.Unlock()
	<-turn
}

func (e *engines) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for rank := range e.waiting {
		if len(e.waiting[rank]) > 0 {
			close(e.waiting[rank][0])
			e.waiting[rank] = e.waiting[rank][1:]
			return
		}
	}
	e.free++
}

func (e *engines) report() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedFree = e.free
	for _, q := range e.waiting {
		e.reportedFree -= len(q)
	}
	clear(e.startedSince)
}

func (e *engines) headroom(entry int) Headroom {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Headroom{Free: e.reportedFree - e.startedSince[entry], Total: modelSlots, Unseen: e.startedSince[entry]}
}

// load describes the requests that one customer sends.
type load struct {
	customer          string
	requestsPerSecond float64
	urgentFraction    float64
}

// tally counts the outcomes of one customer's requests.
type tally struct {
	sent    int
	inTime  int
	tokens  float64
	urgent  []time.Duration
	refused map[verdict.Code]int
}

// overload runs several entries in virtual time under the given loads and
// returns the tallies by customer.
func overload(t *testing.T, entries int, customers []template.Customer, loads []load, duration time.Duration) map[string]*tally {
	tallies := map[string]*tally{}
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		e := &engines{free: modelSlots, reportedFree: modelSlots, startedSince: make([]int, entries)}
		ctls := make([]*Controller, entries)
		for i := range ctls {
			ctls[i] = New(Options{MemberCount: entries, Headroom: func(string) (Headroom, bool) { return e.headroom(i), true }})
			ctls[i].SetTemplate(testTemplate(customers...))
		}
		stop := make(chan struct{})
		wg.Go(func() { every(stop, reportEvery, e.report) })
		wg.Go(func() { every(stop, time.Second, func() { exchange(ctls) }) })
		for n, l := range loads {
			tl := &tally{refused: map[verdict.Code]int{}}
			tallies[l.customer] = tl
			rng := rand.New(rand.NewPCG(uint64(n), 5))
			wg.Go(func() {
				end := time.Now().Add(duration)
				for {
					time.Sleep(time.Duration(rng.ExpFloat64() / l.requestsPerSecond * float64(time.Second)))
					if time.Now().After(end) {
						return
					}
					entry := rng.IntN(entries)
					urgent := rng.Float64() < l.urgentFraction
					wg.Go(func() { sendRequest(ctls[entry], e, entry, l.customer, urgent, &mu, tl) })
				}
			})
		}
		time.Sleep(duration + time.Minute)
		close(stop)
		wg.Wait()
	})
	return tallies
}

func every(stop chan struct{}, d time.Duration, run func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(d):
			run()
		}
	}
}

// exchange delivers to each entry the current demand of the others.
func exchange(ctls []*Controller) {
	demands := make([]map[string]float64, len(ctls))
	for i, ctl := range ctls {
		demands[i] = ctl.Demand()
	}
	for i, ctl := range ctls {
		peers := map[string]map[string]float64{}
		for j := range ctls {
			if j != i {
				peers[string(rune('a'+j))] = demands[j]
			}
		}
		ctl.SetPeerDemand(peers)
	}
}

func sendRequest(ctl *Controller, e *engines, entry int, customer string, urgent bool, mu *sync.Mutex, tl *tally) {
	r := Request{Customer: customer, Kind: "plan", Urgency: template.UrgencyPatient, Tokens: patientTokens, Deadline: patientDeadline}
	decode := patientDecode
	if urgent {
		r.Kind, r.Urgency, r.Tokens, r.Deadline = "ask", template.UrgencyUrgent, urgentTokens, urgentDeadline
		decode = urgentDecode
	}
	r.PredictedWait = func() time.Duration { return modelPrefill }
	sent := time.Now()
	ticket, err := ctl.Admit(context.Background(), r)
	if err != nil {
		mu.Lock()
		tl.sent++
		tl.refused[verdict.CodeOf(err)]++
		mu.Unlock()
		return
	}
	e.acquire(entry, r.Urgency.Rank())
	time.Sleep(modelPrefill)
	ttft := time.Since(sent)
	time.Sleep(decode)
	e.release()
	ticket.Done(Usage{})
	mu.Lock()
	defer mu.Unlock()
	tl.sent++
	if urgent {
		tl.urgent = append(tl.urgent, ttft)
	}
	if ttft <= r.Deadline {
		tl.inTime++
		tl.tokens += float64(r.Tokens)
	}
}

func unlimited(name string, share float64) template.Customer {
	return template.Customer{Name: name, Share: share, TokensPerSecond: 1e9, BurstTokens: 1e9}
}

func p95(d []time.Duration) time.Duration {
	d = slices.Clone(d)
	slices.Sort(d)
	if len(d) == 0 {
		return 0
	}
	return d[len(d)*95/100]
}

// TestGoodputUnderOverload raises the load to twice the capacity. Goodput must
// stay within 10% of its peak and urgent requests must meet their deadline.
func TestGoodputUnderOverload(t *testing.T) {
	c := qt.New(t)
	peak, atDoubleLoad := 0.0, 0.0
	for _, factor := range []float64{0.7, 1, 1.5, 2} {
		loads := []load{{"a", factor * modelCapacity * 0.6, 0.2}, {"b", factor * modelCapacity * 0.4, 0.2}}
		tallies := overload(t, 3, []template.Customer{unlimited("a", 3), unlimited("b", 2)}, loads, 40*time.Second)
		tokens, sent, inTime := 0.0, 0, 0
		var urgent []time.Duration
		refused := 0
		for _, tl := range tallies {
			tokens += tl.tokens
			sent += tl.sent
			inTime += tl.inTime
			urgent = append(urgent, tl.urgent...)
			refused += tl.refused[verdict.CodeOverloaded] + tl.refused[verdict.CodeDeadline]
		}
		t.Logf("load %.1f: sent %d, in time %d, refused %d, late %d, %.0f tokens/s, urgent answered %d, p95 %v",
			factor, sent, inTime, refused, sent-inTime-refused, tokens/40, len(urgent), p95(urgent))
		peak = max(peak, tokens)
		atDoubleLoad = tokens
		c.Check(p95(urgent) <= urgentDeadline, qt.IsTrue)
		// Urgent work is far below the capacity, so all of it should be
		// served.
		c.Check(float64(len(urgent)) > 0.95*0.2*float64(sent), qt.IsTrue)
	}
	c.Check(atDoubleLoad >= 0.9*peak, qt.IsTrue, qt.Commentf("%.0f of %.0f tokens", atDoubleLoad, peak))
}

// TestFloodDoesNotReduceOtherShares lets one customer flood the entries with
// urgent or patient work while two others stay within their shares. The flood
// must not delay or displace the requests of the others.
func TestFloodDoesNotReduceOtherShares(t *testing.T) {
	for _, urgentFraction := range []float64{0, 0.2, 1} {
		c := qt.New(t)
		customers := []template.Customer{unlimited("flood", 1), unlimited("small", 1), unlimited("large", 2)}
		loads := []load{
			{"flood", 3 * modelCapacity, urgentFraction},
			{"small", 0.2 * modelCapacity, 0.2},
			{"large", 0.4 * modelCapacity, 0.2},
		}
		tallies := overload(t, 3, customers, loads, 40*time.Second)
		for _, name := range []string{"small", "large"} {
			tl := tallies[name]
			t.Logf("flood urgent %.1f: %s: sent %d, in time %d, refused %v, urgent p95 %v", urgentFraction, name, tl.sent, tl.inTime, tl.refused, p95(tl.urgent))
			c.Check(float64(tl.inTime) >= 0.95*float64(tl.sent), qt.IsTrue)
			c.Check(p95(tl.urgent) <= urgentDeadline, qt.IsTrue)
		}
		fl := tallies["flood"]
		t.Logf("flood urgent %.1f: flood: sent %d, in time %d, refused %v", urgentFraction, fl.sent, fl.inTime, fl.refused)
		c.Check(fl.inTime > 0, qt.IsTrue)
	}
}
