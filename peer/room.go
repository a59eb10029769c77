package peer

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
)

// maxDemand bounds the figures of a ServiceDemand, so that the report of one faulty
// entry can't exceed those of all others by orders of magnitude.
const maxDemand = 1e4

// maxDemandClasses is the number of classes of a service that are sent. The smallest
// ones are left out; they are served whatever the others get.
const maxDemandClasses = 40

// ServiceDemand is the demand for one service at one or more entries. Work is in
// seconds of one replica.
type ServiceDemand struct {
	// Classes is the demand by urgency and customer.
	Classes ClassDemands `json:"d,omitempty"`
	// Waiting is the work that waits for its first token, by urgency.
	Waiting map[int]float64 `json:"w,omitempty"`
	// InFlight is the number of requests at replicas.
	InFlight float64 `json:"f,omitempty"`
	// Accepted is the work per second whose first token arrived.
	Accepted float64 `json:"a,omitempty"`
}

// ClassDemand is the demand of one customer at one urgency, without requests that
// return after a refusal.
type ClassDemand struct {
	// Work and Requests are per second.
	Work, Requests float64
}

// ClassDemands is demand by urgency and customer. On the wire it is a list of numbers
// by customer: urgency, work and requests of each class, with two significant digits.
type ClassDemands map[int]map[string]ClassDemand

// MarshalJSON implements json.Marshaler.
func (d ClassDemands) MarshalJSON() ([]byte, error) {
	lists := make(map[string]json.RawMessage)
	for _, urgency := range slices.Sorted(maps.Keys(d)) {
		for customer, c := range d[urgency] {
			list := append(lists[customer], ',')
			list = append(strconv.AppendInt(list, int64(urgency), 10), ',')
			list = append(appendShort(list, c.Work), ',')
			lists[customer] = appendShort(list, c.Requests)
		}
	}
	for customer, list := range lists {
		list[0] = '['
		lists[customer] = append(list, ']')
	}
	return json.Marshal(lists)
}

// appendShort appends a number with two significant digits, or without decimals.
func appendShort(out []byte, v float64) []byte {
	if math.Abs(v) >= 10 {
		return strconv.AppendFloat(out, v, 'f', 0, 64)
	}
	return strconv.AppendFloat(out, v, 'g', 2, 64)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *ClassDemands) UnmarshalJSON(text []byte) error {
	var lists map[string][]float64
	if err := json.Unmarshal(text, &lists); err != nil {
		return err
	}
	*d = make(ClassDemands)
	for customer, list := range lists {
		for ; len(list) >= 3; list = list[3:] {
			urgency := int(list[0])
			if (*d)[urgency] == nil {
				(*d)[urgency] = make(map[string]ClassDemand)
			}
			(*d)[urgency][customer] = ClassDemand{Work: list[1], Requests: list[2]}
		}
	}
	return nil
}

// Add adds o with a factor, which is 1 or -1.
func (d *ServiceDemand) Add(o ServiceDemand, factor float64) {
	if d.Classes == nil {
		d.Classes, d.Waiting = make(map[int]map[string]ClassDemand), make(map[int]float64)
	}
	for urgency, customers := range o.Classes {
		sums := d.Classes[urgency]
		if sums == nil {
			sums = make(map[string]ClassDemand)
			d.Classes[urgency] = sums
		}
		for name, c := range customers {
			s := sums[name]
			sums[name] = ClassDemand{s.Work + factor*plausible(c.Work), s.Requests + factor*plausible(c.Requests)}
		}
	}
	for urgency, w := range o.Waiting {
		d.Waiting[urgency] += factor * plausible(w)
	}
	d.InFlight += factor * plausible(o.InFlight)
	d.Accepted += factor * plausible(o.Accepted)
}

// plausible returns a figure of a report, or 0 if it can't be true.
func plausible(v float64) float64 {
	if math.IsNaN(v) || v < 0 || v > maxDemand {
		return 0
	}
	return v
}

// Compact returns a copy without what is negligible or negative, rounded for the
// wire.
func (d ServiceDemand) Compact() ServiceDemand {
	out := ServiceDemand{InFlight: rounded(d.InFlight), Accepted: rounded(d.Accepted)}
	for _, c := range d.largest() {
		if out.Classes == nil {
			out.Classes = make(map[int]map[string]ClassDemand)
		}
		if out.Classes[c.urgency] == nil {
			out.Classes[c.urgency] = make(map[string]ClassDemand)
		}
		out.Classes[c.urgency][c.customer] = c.demand
	}
	for urgency, w := range d.Waiting {
		if w = rounded(w); w > 0 {
			if out.Waiting == nil {
				out.Waiting = make(map[int]float64)
			}
			out.Waiting[urgency] = w
		}
	}
	return out
}

// demandClass is one class of a ServiceDemand.
type demandClass struct {
	urgency  int
	customer string
	demand   ClassDemand
}

// largest returns the classes with the most work.
func (d ServiceDemand) largest() []demandClass {
	var out []demandClass
	for urgency, customers := range d.Classes {
		for name, c := range customers {
			if c.Requests >= 0.01 {
				out = append(out, demandClass{urgency, name, ClassDemand{max(0, c.Work), c.Requests}})
			}
		}
	}
	if len(out) <= maxDemandClasses {
		return out
	}
	slices.SortFunc(out, func(x, y demandClass) int {
		return cmp.Or(cmp.Compare(y.demand.Work, x.demand.Work), cmp.Compare(x.urgency, y.urgency), cmp.Compare(x.customer, y.customer))
	})
	return out[:maxDemandClasses]
}

// rounded rounds to milliseconds of work.
func rounded(v float64) float64 { return max(0, math.Round(v*1000)/1000) }
