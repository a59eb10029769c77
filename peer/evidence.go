package peer

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
