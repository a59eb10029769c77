package peer

// LimitLevel is what one of the two owners of a customer's limit knows of the units
// that are left.
type LimitLevel struct {
	Customer string `json:"c"`
	// Process identifies a process among those that an entry has run.
	Process uint64 `json:"p"`
	// Quality orders levels by what they are based on. At 0 the level is unknown.
	Quality int `json:"q,omitempty"`
	// Units is the number of units left, which may be negative.
	Units float64 `json:"u,omitempty"`
	// Granted is the number of units that the process has granted in total.
	Granted float64 `json:"g,omitempty"`
	// Included is the part of the units granted by the process IncludedOf, of the
	// receiver, that Units takes into account.
	Included   float64 `json:"i,omitempty"`
	IncludedOf uint64  `json:"o,omitempty"`
	// Asked is the number of units that the process is asked for per second.
	Asked float64 `json:"a,omitempty"`
}
