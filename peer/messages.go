package peer

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// Methods of the protocol.
const (
	methodHello       = "hello"
	methodStateUpdate = "digest"
	methodNotices     = "notices"
	methodVersions    = "versions"
	methodTemplate    = "template"
	methodHandoff     = "handoff"
	methodReserve     = "take"
	methodChanges     = "changes"
	methodCounts      = "counts"
	methodPlace       = "place"
	methodLoads       = "loads"
	methodPushCounts  = "push_counts"
	methodEvidence    = "evidence"
	methodLimits      = "limits"
	methodPermit      = "permit"
	methodPlacedEnd   = "placed_end"
)

// Demand is the demand of one customer at one entry.
type Demand struct {
	TokensPerSecond float64
	// SpendPerHour is in the deployment's currency.
	SpendPerHour float64
}

// MarshalJSON writes a pair of numbers with three significant digits, and more
// only for the integer part of larger numbers, to keep state updates small.
func (d Demand) MarshalJSON() ([]byte, error) {
	out := appendNumber([]byte{'['}, d.TokensPerSecond)
	out = appendNumber(append(out, ','), d.SpendPerHour)
	return append(out, ']'), nil
}

func appendNumber(out []byte, v float64) []byte {
	if math.Abs(v) >= 100 {
		return strconv.AppendFloat(out, v, 'f', 0, 64)
	}
	return strconv.AppendFloat(out, v, 'g', 3, 64)
}

// UnmarshalJSON reads a pair of numbers.
func (d *Demand) UnmarshalJSON(text []byte) error {
	var pair [2]float64
	if err := json.Unmarshal(text, &pair); err != nil {
		return err
	}
	d.TokensPerSecond, d.SpendPerHour = pair[0], pair[1]
	return nil
}

// EntryState is the state that an entry publishes about itself.
type EntryState struct {
	// Templates are the template versions in force at the entry, by name.
	Templates map[string]uint64 `json:"t,omitempty"`
	// Demand is the demand at the entry by customer.
	Demand map[string]Demand `json:"d,omitempty"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"f,omitempty"`
	// Incarnation is the incarnation of the entry that Started belongs to.
	Incarnation string `json:"i,omitempty"`
	// Endpoints is the load that the entry causes at endpoints, by ID.
	Endpoints map[string]EndpointLoad `json:"e,omitempty"`
	// Services is the load by service. It replaces Endpoints where the
	// propagation delay is so long that the load has moved to other endpoints
	// in the meantime.
	Services map[string]EndpointLoad `json:"s,omitempty"`
	// PrefillLoad is the prefill load that the entry causes, by service.
	PrefillLoad map[string]PrefillLoad `json:"r,omitempty"`
	// BusyEngines is the mean number of engines that the requests of the entry
	// occupy, by service.
	BusyEngines map[string]float64 `json:"k,omitempty"`
	// Started counts the requests that began to run, by window and customer.
	// The counts of a window never decrease within one incarnation.
	Started map[int64]map[string]int `json:"u,omitempty"`
}

// EndpointLoad is the load that one entry causes at an endpoint.
type EndpointLoad struct {
	// InFlight is the number of requests in progress.
	InFlight int `json:"f,omitempty"`
	// Tokens is the number of prompt tokens that wait for prefill.
	Tokens int `json:"t,omitempty"`
}

// Outcomes are the numbers of recent requests that an endpoint answered and
// failed, with exponential decay.
type Outcomes struct {
	Answered float64 `json:"a,omitempty"`
	Failed   float64 `json:"x,omitempty"`
}

// Load is the load that one or more entries cause, and what they observed of
// endpoints.
type Load struct {
	// Services is the load by service.
	Services map[string]EndpointLoad `json:"s,omitempty"`
	// Outcomes is by endpoint ID.
	Outcomes map[string]Outcomes `json:"o,omitempty"`
	// Demand is the demand by service. Releases before room control ignore it.
	Demand map[string]ServiceDemand `json:"q,omitempty"`
	// Speeds are the samples of replicas' speeds by endpoint ID.
	Speeds map[string]SpeedSamples `json:"v,omitempty"`
}

// LoadReport reports the load of an entry to the aggregator of its failure
// domain.
type LoadReport struct {
	Load
	// DomainOnly is set by aggregators of other failure domains, which report
	// nothing and request the sum of the called one's.
	DomainOnly bool `json:"d,omitempty"`
	// KnownSpeeds asks for the speeds that are newer than this version of a sum. It
	// is 1 for all of them, and 0 for none.
	KnownSpeeds uint64 `json:"w,omitempty"`
}

// LoadSum is the reply to LoadReport.
type LoadSum struct {
	Load
	// NotAggregator is set if the called entry doesn't sum its domain's loads.
	NotAggregator bool `json:"n,omitempty"`
	// SpeedsVersion is the version of the speeds in the sum.
	SpeedsVersion uint64 `json:"w,omitempty"`
}

// PrefillLoad is the mean number of engines that the prefill of one entry's
// prompts occupies. All counts all prompts, Long only the long ones.
type PrefillLoad struct {
	All  float64 `json:"a"`
	Long float64 `json:"l"`
}

// hello is the first message in each direction of a connection.
type hello struct {
	Deployment string        `json:"deployment"`
	Member     member.Member `json:"member"`
	// To is the ID of the member that the sender dialled. It is empty in the
	// reply.
	To string `json:"to,omitempty"`
	// Relay requests that the receiver relays the states of third members.
	Relay bool `json:"relay,omitempty"`
	// Have holds the stamps of the states that the sender has, by origin. The
	// receiver sends only newer states.
	Have map[string]stamp `json:"have,omitempty"`
	// CallOnly marks a connection for calls, without state updates.
	CallOnly bool `json:"once,omitempty"`
}

// stamp is the version of a state. It orders the states of one origin, first by
// epoch and then by number.
type stamp struct {
	Epoch  uint64
	Number uint64
}

// MarshalJSON writes a pair of numbers.
func (s stamp) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%d]", s.Epoch, s.Number), nil
}

// UnmarshalJSON reads a pair of numbers.
func (s *stamp) UnmarshalJSON(text []byte) error {
	var pair [2]uint64
	if err := json.Unmarshal(text, &pair); err != nil {
		return err
	}
	s.Epoch, s.Number = pair[0], pair[1]
	return nil
}

func (s stamp) less(o stamp) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch < o.Epoch
	}
	return s.Number < o.Number
}

// state is the published state of one member, its origin, with the metadata for
// relaying it.
type state struct {
	Origin string `json:"o"`
	Stamp  stamp  `json:"v"`
	// Member is sent only with the first state of an epoch on a connection.
	Member *member.Member `json:"m,omitempty"`
	// Leaving marks a member that takes no new work.
	Leaving bool `json:"l,omitempty"`
	// AgeSeconds is the time since the origin published the state, added up
	// over the entries that relayed it.
	AgeSeconds int `json:"a,omitempty"`
	// Unreachable holds neighbours that the origin reports as unreachable.
	Unreachable []unreachable `json:"x,omitempty"`
	// EntryState is the JSON encoding of an EntryState. It is relayed
	// unchanged, because encoding it again for each neighbour at each hop would
	// take much of the processor time of a large mesh. It is a byte slice,
	// because the library would decode and encode nested JSON again for each
	// message.
	EntryState []byte `json:"d"`
}

// unreachable reports a neighbour that can't be reached.
type unreachable struct {
	ID          string `json:"id"`
	Incarnation string `json:"i"`
	// Stamp is that of the latest state of the neighbour at the reporting
	// member. A newer state refutes the report.
	Stamp stamp `json:"v"`
}

// stateUpdate is the periodic message on every connection, sent each second.
type stateUpdate struct {
	// Relay replaces the request of the hello.
	Relay *bool `json:"r,omitempty"`
	// Leaving is set if the sender itself is leaving.
	Leaving bool    `json:"l,omitempty"`
	States  []state `json:"s,omitempty"`
}

// notices broadcasts disruption notices. It is sent at once.
type notices struct {
	Notices []noticeRecord `json:"n"`
}

// noticeRecord is a drain.Notice on the wire.
type noticeRecord struct {
	HostID        string       `json:"h,omitempty"`
	Incarnation   string       `json:"i"`
	FailureDomain string       `json:"d,omitempty"`
	Reason        drain.Reason `json:"r,omitempty"`
	RemainingMS   int64        `json:"t,omitempty"`
	AgeSeconds    int64        `json:"a,omitempty"`
}

func recordOf(n drain.Notice) noticeRecord {
	return noticeRecord{
		HostID:        n.HostID,
		Incarnation:   n.Incarnation,
		FailureDomain: n.FailureDomain,
		Reason:        n.Reason,
		RemainingMS:   n.Remaining.Milliseconds(),
		AgeSeconds:    int64(n.Age.Round(time.Second) / time.Second),
	}
}

func (r noticeRecord) notice() drain.Notice {
	return drain.Notice{
		HostID:        r.HostID,
		Incarnation:   r.Incarnation,
		FailureDomain: r.FailureDomain,
		Reason:        r.Reason,
		Remaining:     time.Duration(r.RemainingMS) * time.Millisecond,
		Age:           time.Duration(r.AgeSeconds) * time.Second,
	}
}

// CrashEvidence is evidence against prompt parts: an endpoint crashed while it
// held requests with them.
type CrashEvidence struct {
	// Customer is the customer whose parts these are.
	Customer string `json:"c,omitempty"`
	// Endpoint and Incarnation are those of the endpoint that crashed.
	Endpoint    string `json:"e,omitempty"`
	Incarnation int64  `json:"i,omitempty"`
	Service     string `json:"s,omitempty"`
	Version     string `json:"v,omitempty"`
	// FailureDomain is that of the endpoint.
	FailureDomain string `json:"d,omitempty"`
	// Parts are the IDs of the parts of requests whose answers it was beginning,
	// and Answered those that were answered since. They are text, because JSON
	// numbers don't preserve 64 bits.
	Parts    []string `json:"p,omitempty"`
	Answered []string `json:"a,omitempty"`
	// Weak are the IDs of the parts of each other request without a settled answer,
	// separated by spaces.
	Weak []string `json:"w,omitempty"`
	// WeakAnswered are those of them that were answered since. Answered holds no more
	// than Parts, as releases without Weak demand.
	WeakAnswered []string `json:"u,omitempty"`
	// Before are parts that were answered at some time.
	Before []string `json:"b,omitempty"`
	// News are parts that were answered lately, each followed by a space and the time
	// since then in milliseconds. They come without an endpoint.
	News []string `json:"n,omitempty"`
	// Refuted is set if the endpoint is known to have lived on. There are no parts then.
	Refuted bool `json:"x,omitempty"`
	// KnownMS is how long the sender has known of all this, if that is long.
	KnownMS int64 `json:"k,omitempty"`
	// AgeMS is the time since the crash.
	AgeMS int64 `json:"t,omitempty"`
}

// crashEvidence broadcasts evidence. It is sent at once.
type crashEvidence struct {
	Evidence []CrashEvidence `json:"e"`
}

// versions reports template versions in force. It is sent at once.
type versions struct {
	Templates map[string]uint64 `json:"t"`
}

// templateParams requests a version of a template.
type templateParams struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// templateResult is the reply to templateParams. Found is false if the peer
// doesn't have the version.
type templateResult struct {
	Found bool            `json:"found"`
	Body  json.RawMessage `json:"body,omitempty"`
	// Packed replaces Body if the body is long. See packer.
	Packed []byte `json:"z,omitempty"`
}

// handoffParams hands off a durable request.
type handoffParams struct {
	JobID string `json:"job_id"`
}

// reserveParams requests units of a customer's limit.
type reserveParams struct {
	Customer string  `json:"c"`
	Units    float64 `json:"n"`
	// WithinMS is how long the request may wait for the units.
	WithinMS int64 `json:"p,omitempty"`
	// Replicated is set if the sender may ask either owner of the limit.
	Replicated bool `json:"r,omitempty"`
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

// PlaceRequest requests that a peer chooses the endpoint of a centrally placed
// prompt.
type PlaceRequest struct {
	Service string `json:"s"`
	// Slots is how many requests an endpoint of the service runs concurrently.
	Slots int `json:"n"`
	// Parts are the prompt parts that the prompt shares with other prompts.
	// Their IDs are text, because JSON numbers don't preserve 64 bits.
	Parts        []PlacePart `json:"p,omitempty"`
	PromptTokens int         `json:"t"`
	// LatencyObjectiveMS is the minimum latency objective of the service's
	// requests.
	LatencyObjectiveMS int64 `json:"o"`
	// Exclude are the endpoints of earlier attempts of the request.
	Exclude []string `json:"x,omitempty"`
	// Group is the group of endpoints to choose from, and MaxWaitMS the wait above
	// which the peer chooses none. A peer of an earlier release ignores both.
	Group     string `json:"g,omitempty"`
	MaxWaitMS int64  `json:"w,omitempty"`
	// Unplaced is the number of the caller's requests in progress on endpoints of the
	// group that no peer placed, by endpoint ID. A peer of an earlier release ignores it.
	Unplaced map[string]int `json:"u,omitempty"`
}

// PlacePart is a prompt part and its length.
type PlacePart struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// PlaceResult is the placement of a centrally placed prompt.
type PlaceResult struct {
	// Endpoint is the ID of the endpoint, empty if there is none.
	Endpoint     string `json:"e,omitempty"`
	Incarnation  int64  `json:"b,omitempty"`
	CachedTokens int    `json:"c,omitempty"`
	FirstTokenMS int64  `json:"f,omitempty"`
	// WaitMS is the wait in the group. Recorded is set if the peer has recorded the
	// request as in progress until PlacedEnd.
	WaitMS   int64 `json:"w,omitempty"`
	Recorded bool  `json:"r,omitempty"`
}

// PlacedEnd tells the peer that placed a request that the request has ended.
type PlacedEnd struct {
	Endpoint string `json:"e"`
}

// changesParams requests the changes of a feed after a version.
type changesParams struct {
	Feed   string `json:"f"`
	After  uint64 `json:"v"`
	WaitMS int64  `json:"w,omitempty"`
}

// changesResult is the reply to changesParams.
type changesResult struct {
	Changes []changeRecord `json:"c,omitempty"`
	// Complete is that of infra.Update.
	Complete bool   `json:"r,omitempty"`
	Version  uint64 `json:"v,omitempty"`
	AgeMS    int64  `json:"a,omitempty"`
	// Compacted represents infra.ErrCompacted, Unavailable
	// follow.ErrUnavailable.
	Compacted   bool `json:"g,omitempty"`
	Unavailable bool `json:"l,omitempty"`
}

// changeRecord is an infra.Change on the wire.
type changeRecord struct {
	Key   string `json:"k"`
	Value []byte `json:"b,omitempty"`
	// Packed replaces Value if it is long. See packer.
	Packed  []byte `json:"z,omitempty"`
	Version uint64 `json:"v"`
	Deleted bool   `json:"d,omitempty"`
}

func changesOf(u infra.Update, p *packer) changesResult {
	out := changesResult{Complete: u.Complete, Version: u.Version, AgeMS: u.Age.Milliseconds()}
	for _, c := range u.Changes {
		record := changeRecord{Key: c.Key, Version: c.Version, Deleted: c.Deleted}
		record.Value, record.Packed = p.pack(c.Value)
		out.Changes = append(out.Changes, record)
	}
	return out
}

func (r changesResult) update() (infra.Update, error) {
	u := infra.Update{Complete: r.Complete, Version: r.Version, Age: time.Duration(r.AgeMS) * time.Millisecond}
	for _, c := range r.Changes {
		value, err := unpack(c.Value, c.Packed)
		if err != nil {
			return infra.Update{}, fmt.Errorf("change of %q: %w", c.Key, err)
		}
		u.Changes = append(u.Changes, infra.Change{Row: infra.Row{Key: c.Key, Value: value, Version: c.Version}, Deleted: c.Deleted})
	}
	return u, nil
}

// IncarnationCounts are the requests that began to run at one incarnation of
// an entry.
type IncarnationCounts struct {
	Member      string `json:"m"`
	Incarnation string `json:"i"`
	// Started is by window and customer. The counts of a window never decrease.
	Started map[int64]map[string]int `json:"u"`
}

// countsResult is the reply to a call for counts.
type countsResult struct {
	Counts []IncarnationCounts `json:"c,omitempty"`
}

// ack is an empty message, used as the parameters or the reply of calls that
// need none.
type ack struct{}
