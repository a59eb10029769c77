package standin

// Attempt records one attempt that an engine accepted. Tests and checkers use
// it to verify which attempts ran and how many tokens were recomputed.
type Attempt struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Customer  string `json:"customer"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	StreamID  string `json:"stream_id"`
	// PromptTokens and ResumeTokens are the lengths of the prompt and of the
	// resumed text in the request.
	PromptTokens int `json:"prompt_tokens"`
	ResumeTokens int `json:"resume_tokens"`
	// CachedTokens is the number of tokens that needed no prefill. At most
	// KVTokens of them were in an imported KV cache.
	CachedTokens int `json:"cached_tokens"`
	KVTokens     int `json:"kv_tokens"`
	// PrefilledTokens is the number of tokens that were prefilled;
	// RecomputedTokens of them belong to the resumed text.
	PrefilledTokens  int  `json:"prefilled_tokens"`
	RecomputedTokens int  `json:"recomputed_tokens"`
	GeneratedTokens  int  `json:"generated_tokens"`
	Ended            bool `json:"ended"`
}

// Totals are sums over all attempts of an engine.
type Totals struct {
	Attempts         int64 `json:"attempts"`
	PromptTokens     int64 `json:"prompt_tokens"`
	ResumeTokens     int64 `json:"resume_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	PrefilledTokens  int64 `json:"prefilled_tokens"`
	RecomputedTokens int64 `json:"recomputed_tokens"`
	GeneratedTokens  int64 `json:"generated_tokens"`
}

// add counts an attempt whose prefill starts.
func (t *Totals) add(a *Attempt) {
	t.Attempts++
	t.PromptTokens += int64(a.PromptTokens)
	t.ResumeTokens += int64(a.ResumeTokens)
	t.CachedTokens += int64(a.CachedTokens)
	t.PrefilledTokens += int64(a.PrefilledTokens)
	t.RecomputedTokens += int64(a.RecomputedTokens)
}

// Plus returns the sum of two totals.
func (t Totals) Plus(o Totals) Totals {
	t.Attempts += o.Attempts
	t.PromptTokens += o.PromptTokens
	t.ResumeTokens += o.ResumeTokens
	t.CachedTokens += o.CachedTokens
	t.PrefilledTokens += o.PrefilledTokens
	t.RecomputedTokens += o.RecomputedTokens
	t.GeneratedTokens += o.GeneratedTokens
	return t
}

// Totals returns the sums so far. GeneratedTokens includes only streams that
// have ended.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// Attempts returns a record of each attempt, in order of arrival.
func (e *Engine) Attempts() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Attempt, len(e.attempts))
	for i, a := range e.attempts {
		out[i] = *a
	}
	return out
}
