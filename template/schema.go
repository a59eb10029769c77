// Package template defines service templates, stores their versions in the
// table and keeps the approved version current on each entry.
//
// An operator edits a template and approves the edit. A template has immutable
// versions and one head, which names the version in force. Store reads and
// writes templates for operators and tools; a Watcher runs on each entry, polls
// the head, fetches higher versions that peers report, and provides the version
// in force to requests as an Index. Store, Watcher and Index are safe for
// concurrent use.
package template

import "time"

// Urgency is the priority class of a request kind.
type Urgency string

// Urgencies, from most to least urgent.
const (
	UrgencyUrgent  Urgency = "urgent"
	UrgencyNormal  Urgency = "normal"
	UrgencyPatient Urgency = "patient"
)

// NumRanks is the number of urgency ranks.
const NumRanks = 3

// Rank returns the rank of u, from 0 for the most urgent to NumRanks-1. An
// unknown urgency ranks as normal.
func (u Urgency) Rank() int {
	switch u {
	case UrgencyUrgent:
		return 0
	case UrgencyPatient:
		return 2
	default:
		return 1
	}
}

// Delivery selects whether a request ends when its client disconnects.
type Delivery string

// Delivery modes of a request kind.
const (
	// DeliveryAttached ends the request when its client disconnects.
	DeliveryAttached Delivery = "attached"
	// DeliveryDurable records the request, so that it survives the failure of
	// its entry host.
	DeliveryDurable Delivery = "durable"
)

// OutagePolicy selects how requests of a durable kind are handled while the
// table is unavailable.
type OutagePolicy string

// Outage policies of a durable request kind: OutageRefuse refuses the requests,
// and OutageAttached runs them as attached requests.
const (
	OutageRefuse   OutagePolicy = "refuse"
	OutageAttached OutagePolicy = "attached"
)

// Duration is a time.Duration written as text, for example "460ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Template is one version of a service template. It is immutable once
// published.
type Template struct {
	// Name is the deployment's name.
	Name string `toml:"name" json:"name" validate:"required,name"`
	// Version is set by the store; it is 0 in a file.
	Version   uint64     `toml:"-" json:"version"`
	Weights   Weights    `toml:"weights" json:"weights"`
	Models    []Model    `toml:"models" json:"models" validate:"required,min=1,dive"`
	Services  []Service  `toml:"services" json:"services" validate:"dive"`
	Kinds     []Kind     `toml:"kinds" json:"kinds" validate:"required,min=1,dive"`
	Customers []Customer `toml:"customers" json:"customers" validate:"required,min=1,dive"`
}

// Weights are the weights of the cost function that the deployment minimises.
type Weights struct {
	// Cost is the weight of the money spent, and Recomputed the weight of the
	// tokens computed again.
	Cost       float64 `toml:"cost" json:"cost" validate:"gte=0,finite"`
	Recomputed float64 `toml:"recomputed" json:"recomputed" validate:"gte=0,finite"`
}

// Model is a model that the deployment serves.
type Model struct {
	Name    string `toml:"name" json:"name" validate:"required,name"`
	Version string `toml:"version" json:"version" validate:"required,name"`
	// MinReplicas and MaxReplicas bound the number of replicas that are placed.
	MinReplicas int `toml:"min_replicas" json:"min_replicas" validate:"gte=0"`
	MaxReplicas int `toml:"max_replicas" json:"max_replicas" validate:"gtefield=MinReplicas"`
	// ChecksFence reports whether the model's engines refuse an order whose
	// fencing token is lower than one that they have already received.
	ChecksFence bool `toml:"checks_fence" json:"checks_fence"`
}

// Service is an HTTP service without a model that the deployment routes to,
// called a plain service.
type Service struct {
	Name   string  `toml:"name" json:"name" validate:"required,name"`
	Routes []Route `toml:"routes" json:"routes" validate:"dive"`
	// ChecksFence reports whether the service refuses a call whose fencing
	// token is lower than one that it has already received.
	ChecksFence bool `toml:"checks_fence" json:"checks_fence"`
}

// Route is a method and path of a plain service. A request that matches no
// route must not be repeated.
type Route struct {
	Method string `toml:"method" json:"method" validate:"required"`
	// Path is an exact path, or a prefix when it ends in "*".
	Path       string `toml:"path" json:"path" validate:"required"`
	Repeatable bool   `toml:"repeatable" json:"repeatable"`
	// Kind names the request kind that sets the urgency and the deadline.
	Kind string `toml:"kind" json:"kind"`
}

// Kind describes a kind of request: its urgency, deadline, delivery and model.
type Kind struct {
	Name    string  `toml:"name" json:"name" validate:"required,name"`
	Urgency Urgency `toml:"urgency" json:"urgency" validate:"oneof=urgent normal patient"`
	// Deadline bounds the time to the first token, or to a service's reply.
	Deadline Duration `toml:"deadline" json:"deadline" validate:"gt=0"`
	Delivery Delivery `toml:"delivery" json:"delivery" validate:"oneof=attached durable"`
	// Outage applies to durable kinds only.
	Outage OutagePolicy `toml:"outage" json:"outage" validate:"omitempty,oneof=refuse attached"`
	// Model names the model that answers; it is empty for kinds of plain
	// services.
	Model     string `toml:"model" json:"model"`
	MaxTokens int    `toml:"max_tokens" json:"max_tokens" validate:"gte=0"`
	// Retries bounds the attempts after the first.
	Retries int `toml:"retries" json:"retries" validate:"gte=0,lte=10"`
}

// Customer holds the API key hash, limits and permissions of one customer.
type Customer struct {
	Name string `toml:"name" json:"name" validate:"required,name"`
	// KeySHA256 is the SHA-256 of the customer's API key in lower-case hex.
	KeySHA256 string `toml:"key_sha256" json:"key_sha256" validate:"required,key_hash"`
	// Share is the customer's weight in fair queueing.
	Share float64 `toml:"share" json:"share" validate:"gt=0,finite"`
	// TokensPerSecond and BurstTokens limit the prompt and answer tokens over
	// all entries.
	TokensPerSecond float64 `toml:"tokens_per_second" json:"tokens_per_second" validate:"gt=0,finite"`
	BurstTokens     float64 `toml:"burst_tokens" json:"burst_tokens" validate:"gt=0,finite"`
	// CostPerHour is the cost ceiling of the customer.
	CostPerHour float64 `toml:"cost_per_hour" json:"cost_per_hour" validate:"gte=0,finite"`
	// Kinds lists the kinds that the customer may use; empty means all.
	Kinds []string `toml:"kinds" json:"kinds"`
	// ModelVersions overrides the version of a model, by model name.
	ModelVersions map[string]string `toml:"model_versions" json:"model_versions"`
}

// Kind returns the kind with the given name.
func (t *Template) Kind(name string) (Kind, bool) {
	for _, k := range t.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// Customer returns the customer with the given name.
func (t *Template) Customer(name string) (Customer, bool) {
	for _, c := range t.Customers {
		if c.Name == name {
			return c, true
		}
	}
	return Customer{}, false
}

// ModelVersion returns the version of a model that a customer uses, and false
// for an unknown model.
func (t *Template) ModelVersion(c Customer, model string) (string, bool) {
	for _, m := range t.Models {
		if m.Name != model {
			continue
		}
		if v, ok := c.ModelVersions[model]; ok {
			return v, true
		}
		return m.Version, true
	}
	return "", false
}
