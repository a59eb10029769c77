package admission

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Headroom is the room that the endpoints of a model have for streams, as one
// entry sees it.
type Headroom struct {
	// Free and Total count streams over all endpoints of the model. Free is
	// negative while streams wait.
	Free  int
	Total int
	// Unseen counts this entry's own streams that Free allows for although
	// the endpoints' reports don't show them yet.
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
	// Members is the number of entries assumed until SetPeers or SetMembers
	// is called; 0 means 1.
	Members int
	// Headroom tells the room of a model; "" is the model of plain services.
	// Without it each model takes MaxInFlight requests.
	Headroom func(model string) (Headroom, bool)
	// MaxInFlight bounds the requests in flight of a model without a known
	// headroom; 0 means DefaultMaxInFlight.
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

// Request asks to start work.
type Request struct {
	RequestID string
	Customer  string
	Kind      string
	Urgency   template.Urgency
	// Tokens is the prompt plus the expected answer.
	Tokens int
	// Deadline is the time left until the first token; 0 means none.
	Deadline time.Duration
	// PredictedWait tells the time to the first token once admitted; nil
	// means none.
	PredictedWait func() time.Duration
	// Resumed is set for work that was admitted before: it takes no tokens
	// and goes before new work of its urgency.
	Resumed bool
}

// Usage is what a request took in the end.
type Usage struct {
	// Tokens is the prompt plus the answer; 0 keeps the estimate.
	Tokens int
	// Cost is in the deployment's currency.
	Cost float64
}
