package admission

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Headroom is one entry's estimate of the streams that the endpoints of a model
// can serve.
type Headroom struct {
	// Free and Total count streams over all endpoints of the model. Free is
	// negative while streams wait at the endpoints.
	Free  int
	Total int
	// Unseen counts the streams of this entry that Free already accounts
	// for although the endpoints' load reports do not include them yet.
	Unseen int
}

// Options configure a Controller. The zero value works.
type Options struct {
	// Entry is the entry's ID.
	Entry string
	// Log defaults to a logger that writes nothing.
	Log *logrus.Entry
	// Now defaults to time.Now.
	Now func() time.Time
	// MemberCount is the number of live entries assumed until SetPeerDemand
	// or SetMemberCount is called; 0 means 1.
	MemberCount int
	// Headroom returns the headroom of a model; "" is the model of services
	// without one. If it is nil or returns false, the model may have
	// MaxInFlight requests in flight.
	Headroom func(model string) (Headroom, bool)
	// MaxInFlight bounds the requests in flight of a model whose headroom
	// is unknown; 0 means DefaultMaxInFlight.
	MaxInFlight int
	// MaxQueue bounds the waiting requests of one customer, model and
	// urgency; 0 means DefaultMaxQueue.
	MaxQueue int
}

// Defaults of Options.
const (
	DefaultMaxInFlight = 256
	DefaultMaxQueue    = 64
)

// Request describes a request to be admitted.
type Request struct {
	RequestID string
	Customer  string
	Kind      string
	Urgency   template.Urgency
	// Tokens is the number of prompt tokens plus the expected answer
	// tokens.
	Tokens int
	// Deadline is the time left until the first token; 0 means none.
	Deadline time.Duration
	// PredictedWait returns the predicted time from admission to the first
	// token; nil means 0.
	PredictedWait func() time.Duration
	// Resumed marks work that was admitted before: it takes no tokens and
	// is started before new work of its urgency.
	Resumed bool
}

// Usage is the actual consumption of a finished request.
type Usage struct {
	// Tokens is the number of prompt and answer tokens; 0 keeps the
	// estimate.
	Tokens int
	// Cost is in the deployment's currency.
	Cost float64
}
