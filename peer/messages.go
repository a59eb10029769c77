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
	methodHello    = "hello"
	methodDigest   = "digest"
	methodNotices  = "notices"
	methodVersions = "versions"
	methodTemplate = "template"
	methodHandoff  = "handoff"
	methodTake     = "take"
	methodChanges  = "changes"
	methodCounts   = "counts"
	methodPlace    = "place"
)

// Demand is the demand of one customer at one entry.
type Demand struct {
	TokensPerSecond float64
	// SpendPerHour is in the deployment's currency.
	SpendPerHour float64
}

// MarshalJSON writes a pair of numbers with three digits at least, to keep
// digests small.
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

// EntryState is what an entry tells about itself.
type EntryState struct {
	// Templates are the versions in force at the entry by template name.
	Templates map[string]uint64 `json:"t,omitempty"`
	// Demand is by customer.
	Demand map[string]Demand `json:"d,omitempty"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"f,omitempty"`
	// Incarnation is the run of the entry that Started belongs to.
	Incarnation string `json:"i,omitempty"`
	// Endpoints is the load that the entry puts on endpoints, by ID.
	Endpoints map[string]EndpointLoad `json:"e,omitempty"`
	// Services is the load by service, in place of Endpoints where digests are
	// so long on their way that it has moved to others meanwhile.
	Services map[string]EndpointLoad `json:"s,omitempty"`
	// PrefillLoad is what the entry has engines read, by service.
	PrefillLoad map[string]PrefillLoad `json:"r,omitempty"`
	// BusyEngines is how many endpoints of each service the entry keeps busy.
	BusyEngines map[string]float64 `json:"k,omitempty"`
	// Started counts the requests that began to run, by window and customer.
	// Counts of a window only grow within one incarnation.
	Started map[int64]map[string]int `json:"u,omitempty"`
}

// EndpointLoad is the load that one entry puts on an endpoint.
type EndpointLoad struct {
	InFlight int `json:"f,omitempty"`
	// Tokens are prompt tokens that wait to be read.
	Tokens int `json:"t,omitempty"`
}

// PrefillLoad is how many engines the prompts of one entry keep busy: all of them,
// and the long ones among them.
type PrefillLoad struct {
	All  float64 `json:"a"`
	Long float64 `json:"l"`
}

// hello opens a connection, in both directions.
type hello struct {
	Deployment string        `json:"deployment"`
	Member     member.Member `json:"member"`
	// To is the ID that the dialer wants to reach.
	To string `json:"to,omitempty"`
	// Relay asks the other side to pass on the states of third members.
	Relay bool `json:"relay,omitempty"`
	// Have says which states the sender has, by origin, so that the other
	// side sends only newer ones.
	Have map[string]stamp `json:"have,omitempty"`
	// Once marks a connection for single calls that carries no digests.
	Once bool `json:"once,omitempty"`
}

// stamp orders the states of one origin: first by epoch, then by number.
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

// state is the published state of one member.
type state struct {
	Origin string `json:"o"`
	Stamp  stamp  `json:"v"`
	// Member is sent once per epoch on a connection.
	Member *member.Member `json:"m,omitempty"`
	// Leaving marks a member that takes no new work.
	Leaving bool `json:"l,omitempty"`
	// AgeSeconds is the time since the origin published the state, summed up
	// over the entries that it passed.
	AgeSeconds int `json:"a,omitempty"`
	// Silent names members that the origin lost as a neighbour.
	Silent []silent `json:"x,omitempty"`
	// Digest is the JSON text of a Digest. It is passed on as it came: encoding
	// it anew for each neighbour of each entry on its way takes much of the
	// processor time of a large mesh, and so does JSON inside JSON, which the
	// library decodes and encodes once more for each message.
	Digest []byte `json:"d"`
}

// silent reports a neighbour that went silent.
type silent struct {
	ID          string `json:"id"`
	Incarnation string `json:"i"`
	// Stamp is the last state of it that the origin knew. A newer one refutes
	// the report.
	Stamp stamp `json:"v"`
}

// digest is sent each second on every connection.
type digest struct {
	// Relay changes what the hello asked for.
	Relay *bool `json:"r,omitempty"`
	// Leaving tells that the sender itself leaves.
	Leaving bool    `json:"l,omitempty"`
	States  []state `json:"s,omitempty"`
}

// notices spreads notices at once.
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

// versions spreads template versions at once.
type versions struct {
	Templates map[string]uint64 `json:"t"`
}

// templateParams asks for a version of a template.
type templateParams struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// templateResult is the answer; Found is false when the peer has it not.
type templateResult struct {
	Found bool            `json:"found"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// handoffParams hands a durable request over.
type handoffParams struct {
	JobID string `json:"job_id"`
}

// takeParams asks for units of a customer's limit.
type takeParams struct {
	Customer string  `json:"c"`
	Units    float64 `json:"n"`
	// WithinMS is how long the request may wait for room.
	WithinMS int64 `json:"p,omitempty"`
}

// takeResult is the answer; WaitMS is 0 where there is room now.
type takeResult struct {
	WaitMS int64 `json:"w,omitempty"`
	// Taken says that the units were taken although there is a wait.
	Taken bool `json:"t,omitempty"`
	// Elsewhere says that the limit isn't kept at the peer.
	Elsewhere bool `json:"e,omitempty"`
}

// PlaceRequest asks a peer to place a long prompt.
type PlaceRequest struct {
	Service string `json:"s"`
	// Slots is how many requests an endpoint of the service runs.
	Slots int `json:"n"`
	// Parts are those that the prompt shares with others, their IDs as text:
	// numbers in messages hold no 64 bits.
	Parts        []PlacePart `json:"p,omitempty"`
	PromptTokens int         `json:"t"`
	// LatencyObjectiveMS is the tightest latency objective of the service's requests.
	LatencyObjectiveMS int64 `json:"o"`
	// Exclude are endpoints that had the request before.
	Exclude []string `json:"x,omitempty"`
}

// PlacePart is a part of a prompt.
type PlacePart struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// PlaceResult says where a long prompt goes.
type PlaceResult struct {
	// Endpoint is empty where there is none.
	Endpoint     string `json:"e,omitempty"`
	Incarnation  int64  `json:"b,omitempty"`
	CachedTokens int    `json:"c,omitempty"`
	FirstTokenMS int64  `json:"f,omitempty"`
}

// changesParams asks for the changes of a feed after a version.
type changesParams struct {
	Feed   string `json:"f"`
	After  uint64 `json:"v"`
	WaitMS int64  `json:"w,omitempty"`
}

// changesResult is the answer.
type changesResult struct {
	Changes []changeRecord `json:"c,omitempty"`
	Version uint64         `json:"v,omitempty"`
	AgeMS   int64          `json:"a,omitempty"`
	// Gone and Lost say why there is no answer.
	Gone bool `json:"g,omitempty"`
	Lost bool `json:"l,omitempty"`
}

// changeRecord is an infra.Change on the wire.
type changeRecord struct {
	Key     string `json:"k"`
	Value   []byte `json:"b,omitempty"`
	Version uint64 `json:"v"`
	Deleted bool   `json:"d,omitempty"`
}

func changesOf(u infra.Update) changesResult {
	out := changesResult{Version: u.Version, AgeMS: u.Age.Milliseconds()}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, changeRecord{Key: c.Key, Value: c.Value, Version: c.Version, Deleted: c.Deleted})
	}
	return out
}

func (r changesResult) update() infra.Update {
	u := infra.Update{Version: r.Version, Age: time.Duration(r.AgeMS) * time.Millisecond}
	for _, c := range r.Changes {
		u.Changes = append(u.Changes, infra.Change{Row: infra.Row{Key: c.Key, Value: c.Value, Version: c.Version}, Deleted: c.Deleted})
	}
	return u
}

// IncarnationCounts are the requests that began to run at one incarnation of
// an entry.
type IncarnationCounts struct {
	Member      string `json:"m"`
	Incarnation string `json:"i"`
	// Started is by window and customer; counts of a window only grow.
	Started map[int64]map[string]int `json:"u"`
}

// countsResult is the answer to a call for counts.
type countsResult struct {
	Counts []IncarnationCounts `json:"c,omitempty"`
}

// ack is an empty answer.
type ack struct{}
