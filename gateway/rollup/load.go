package rollup

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// newLoad returns a load of nothing.
func newLoad() peer.Load {
	return peer.Load{Services: make(map[string]peer.EndpointLoad), Outcomes: make(map[string]peer.Outcomes), Demand: make(map[string]peer.ServiceDemand)}
}

// add adds a load to sum with a factor, which is 1 or -1.
func add(sum, load peer.Load, factor float64) {
	for service, l := range load.Services {
		s := sum.Services[service]
		s.InFlight += int(factor) * l.InFlight
		s.Tokens += int(factor) * l.Tokens
		sum.Services[service] = s
	}
	for id, o := range load.Outcomes {
		s := sum.Outcomes[id]
		s.Answered += factor * o.Answered
		s.Failed += factor * o.Failed
		sum.Outcomes[id] = s
	}
	for service, d := range load.Demand {
		s := sum.Demand[service]
		s.Add(d, factor)
		sum.Demand[service] = s
	}
}

// forAggregator returns what an aggregator needs of a sum.
func forAggregator(sum peer.Load) peer.Load {
	out := newLoad()
	for service, l := range sum.Services {
		if l.InFlight > 0 || l.Tokens > 0 {
			out.Services[service] = peer.EndpointLoad{InFlight: max(0, l.InFlight), Tokens: max(0, l.Tokens)}
		}
	}
	for id, o := range sum.Outcomes {
		o = peer.Outcomes{Answered: significant(o.Answered), Failed: significant(o.Failed)}
		if o != (peer.Outcomes{}) {
			out.Outcomes[id] = o
		}
	}
	for service, d := range sum.Demand {
		out.Demand[service] = d.Compact()
	}
	return out
}

// forEntry returns what an entry needs of a sum. It leaves out the replicas that
// have not failed any request.
func forEntry(sum peer.Load) peer.Load {
	out := forAggregator(sum)
	for id, o := range out.Outcomes {
		if o.Failed == 0 {
			delete(out.Outcomes, id)
		}
	}
	return out
}

// significant rounds to two decimals, which keeps messages small and removes
// what subtraction leaves of a sum.
func significant(v float64) float64 { return max(0, math.Round(v*100)/100) }

// report is the load that one entry or one failure domain reported.
type report struct {
	load peer.Load
	at   time.Time
}

// reports holds the latest reports by sender.
type reports map[string]report

// total returns the sum of all reports but one. It drops reports that have
// expired.
func (rs reports) total(except string, now time.Time) peer.Load {
	out := newLoad()
	for from, r := range rs {
		switch {
		case now.Sub(r.at) > reportTTL:
			delete(rs, from)
		case from != except:
			add(out, r.load, 1)
		}
	}
	return out
}
