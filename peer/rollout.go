package peer

import "context"

// methodRollout is the method of RolloutReport.
const methodRollout = "rollout"

// RolloutReport reports to the entry that controls a roll-out what this entry
// sent to the versions of a service and how they answered. All numbers are totals
// since the entry learnt of the order, so that a lost report loses nothing.
type RolloutReport struct {
	Service string `json:"s"`
	// To is the version that is ordered.
	To string `json:"t"`
	// Incarnation is that of the entry.
	Incarnation string `json:"i"`
	// AgeMS is the time since the entry learnt of the order.
	AgeMS int64 `json:"k,omitempty"`
	// Requests is the number of requests that reached the service here.
	Requests int `json:"n,omitempty"`
	// Returned is the number of permits that expired unused.
	Returned int `json:"r,omitempty"`
	// Stage is the stage that is in force at the entry.
	Stage string `json:"g,omitempty"`
	// Reason explains a final stage that the entry doesn't know to be in the table.
	Reason string `json:"y,omitempty"`
	// OldInFlight is the number of requests in progress at other versions.
	OldInFlight int `json:"f,omitempty"`
	// Routes is the evidence by route. Numbers are left out that haven't changed since the
	// last reply with Kept, of which Base is the value. It is 0 if none are left out.
	Routes map[string]RolloutEvidence `json:"e,omitempty"`
	Base   uint64                     `json:"b,omitempty"`
}

// RolloutEvidence is how the ordered version and the others answered.
type RolloutEvidence struct {
	New VersionEvidence `json:"n"`
	Old VersionEvidence `json:"o"`
}

// VersionEvidence counts answers of a version.
type VersionEvidence struct {
	Answered int `json:"a,omitempty"`
	Failed   int `json:"x,omitempty"`
	// Broken counts answers that broke off, by endpoint.
	Broken map[string]int `json:"b,omitempty"`
	// First and Pace are histograms of the time to the first token, or to the
	// end of an answer that is no stream, and of the time between tokens.
	First map[int]int `json:"f,omitempty"`
	Pace  map[int]int `json:"p,omitempty"`
}

// RolloutReply is the reply to RolloutReport.
type RolloutReply struct {
	// NotHolder is set if the called entry doesn't control the roll-out.
	NotHolder bool `json:"h,omitempty"`
	// Kept identifies the state at the holder that has the numbers of the report. It is 0
	// if the holder ignored them.
	Kept uint64 `json:"k,omitempty"`
	// Resend is set if the holder doesn't have the numbers that the report left out. It
	// has ignored the report.
	Resend bool `json:"x,omitempty"`
	// Fence orders the replies of different holders.
	Fence uint64 `json:"v,omitempty"`
	To    string `json:"t,omitempty"`
	Stage string `json:"g,omitempty"`
	// Stored is set if the stage is in the table.
	Stored bool `json:"d,omitempty"`
	// Reason explains the stage to operators.
	Reason string `json:"y,omitempty"`
	// Allowed are the versions that may be used without a permit.
	Allowed []string `json:"l,omitempty"`
	// Permits is the number of requests that the entry may send to the ordered
	// version until its next report is due, and Endpoints the number of endpoints
	// of that version to use.
	Permits   int `json:"p,omitempty"`
	Endpoints int `json:"e,omitempty"`
	// Turn selects these endpoints.
	Turn int `json:"u,omitempty"`
	// Often is set if the next reports are due in a shorter period.
	Often bool `json:"q,omitempty"`
	// Once is set if requests that may run only once may use permits.
	Once bool `json:"o,omitempty"`
}

// Rollout sends a report to a peer.
func (m *Mesh) Rollout(ctx context.Context, peer string, r RolloutReport) (RolloutReply, error) {
	var result RolloutReply
	err := m.callCached(ctx, peer, methodRollout, r, &result)
	return result, err
}

func (h Handlers) rollout(from string, r RolloutReport) RolloutReply {
	if h.Rollout == nil {
		return RolloutReply{NotHolder: true}
	}
	return h.Rollout(from, r)
}
