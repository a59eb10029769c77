// Package template holds service templates: what an operator edits and
// approves. A template has immutable versions and one head that names the
// version in force.
package template

import "time"

// Urgency orders request kinds.
type Urgency string

// Urgencies, most urgent first.
const (
	UrgencyUrgent  Urgency = "urgent"
	UrgencyNormal  Urgency = "normal"
	UrgencyPatient Urgency = "patient"
)

// Ranks is the number of ranks of urgency.
const Ranks = 3

// Rank orders urgencies from 0, the most urgent, to Ranks-1. An unknown one
// ranks as normal.
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

// Delivery says how an answer reaches its caller.
type Delivery string

// Deliveries of a kind.
const (
	// DeliveryAttached lives as long as the caller's connection.
	DeliveryAttached Delivery = "attached"
	// DeliveryDurable is recorded and survives its entry host.
	DeliveryDurable Delivery = "durable"
)

// OutagePolicy says what a durable kind does while the table is down.
type OutagePolicy string

// Outage policies.
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

// Weights say what the deployment minimises.
type Weights struct {
	// Cost weighs money, Recomputed weighs tokens computed again.
	Cost       float64 `toml:"cost" json:"cost" validate:"gte=0,finite"`
	Recomputed float64 `toml:"recomputed" json:"recomputed" validate:"gte=0,finite"`
}

// Model is a model that the deployment serves.
type Model struct {
	Name    string `toml:"name" json:"name" validate:"required,name"`
	Version string `toml:"version" json:"version" validate:"required,name"`
	// MinReplicas and MaxReplicas bound placement.
	MinReplicas int `toml:"min_replicas" json:"min_replicas" validate:"gte=0"`
	MaxReplicas int `toml:"max_replicas" json:"max_replicas" validate:"gtefield=MinReplicas"`
	// ChecksFence says that the model's engines refuse an order with a fencing
	// number lower than one they have seen.
	ChecksFence bool `toml:"checks_fence" json:"checks_fence"`
}

// Service is a plain service that the deployment routes to.
type Service struct {
	Name   string  `toml:"name" json:"name" validate:"required,name"`
	Routes []Route `toml:"routes" json:"routes" validate:"dive"`
	// ChecksFence says that the service refuses a call with a fencing number
	// lower than one it has seen.
	ChecksFence bool `toml:"checks_fence" json:"checks_fence"`
}

// Route is a method and path of a plain service. What no route names may not
// be repeated.
type Route struct {
	Method string `toml:"method" json:"method" validate:"required"`
	// Path is exact, or a prefix when it ends in "*".
	Path       string `toml:"path" json:"path" validate:"required"`
	Repeatable bool   `toml:"repeatable" json:"repeatable"`
	// Kind names the request kind that sets urgency and deadline.
	Kind string `toml:"kind" json:"kind"`
}

// Kind is a kind of request.
type Kind struct {
	Name    string  `toml:"name" json:"name" validate:"required,name"`
	Urgency Urgency `toml:"urgency" json:"urgency" validate:"oneof=urgent normal patient"`
	// Deadline bounds the time to the first token, or to a service's reply.
	Deadline Duration `toml:"deadline" json:"deadline" validate:"gt=0"`
	Delivery Delivery `toml:"delivery" json:"delivery" validate:"oneof=attached durable"`
	// Outage applies to durable kinds.
	Outage OutagePolicy `toml:"outage" json:"outage" validate:"omitempty,oneof=refuse attached"`
	// Model is the model that answers; empty for kinds of plain services.
	Model     string `toml:"model" json:"model"`
	MaxTokens int    `toml:"max_tokens" json:"max_tokens" validate:"gte=0"`
	// Retries bounds the attempts after the first.
	Retries int `toml:"retries" json:"retries" validate:"gte=0,lte=10"`
}

// Customer holds the parameters of one customer.
type Customer struct {
	Name string `toml:"name" json:"name" validate:"required,name"`
	// KeySHA256 is the SHA-256 of the customer's API key in lower-case hex.
	KeySHA256 string `toml:"key_sha256" json:"key_sha256" validate:"required,key_hash"`
	// Share is the customer's weight in fair queueing.
	Share float64 `toml:"share" json:"share" validate:"gt=0,finite"`
	// TokensPerSecond and BurstTokens limit prompt plus answer tokens over
	// all entries.
	TokensPerSecond float64 `toml:"tokens_per_second" json:"tokens_per_second" validate:"gt=0,finite"`
	BurstTokens     float64 `toml:"burst_tokens" json:"burst_tokens" validate:"gt=0,finite"`
	// CostPerHour is the customer's cost ceiling.
	CostPerHour float64 `toml:"cost_per_hour" json:"cost_per_hour" validate:"gte=0,finite"`
	// Kinds are the kinds the customer may use; empty means all.
	Kinds []string `toml:"kinds" json:"kinds"`
	// ModelVersions overrides the version of a model by its name.
	ModelVersions map[string]string `toml:"model_versions" json:"model_versions"`
}

// Kind returns the kind by name.
func (t *Template) Kind(name string) (Kind, bool) {
	for _, k := range t.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// Customer returns the customer by name.
func (t *Template) Customer(name string) (Customer, bool) {
	for _, c := range t.Customers {
		if c.Name == name {
			return c, true
		}
	}
	return Customer{}, false
}

// ModelVersion returns the version of a model that a customer uses, or false
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
