package experiment

import (
	"os"
	"strconv"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

// Report is the result of one run. Times are in seconds, and the cost is in the
// deployment's currency.
type Report struct {
	Deployment string   `json:"deployment"`
	Policy     Policy   `json:"policy"`
	Schedule   Schedule `json:"schedule"`
	Seed       uint64   `json:"seed"`
	Load       float64  `json:"load"`

	Requests          int `json:"requests"`
	AnsweredWhole     int `json:"answered_whole"`
	RefusedNotRun     int `json:"refused_not_run"`
	MayHaveRun        int `json:"may_have_run"`
	LostAnswers       int `json:"lost_answers"`
	CrossedAnswers    int `json:"crossed_answers"`
	DuplicateExecs    int `json:"duplicate_executions"`
	NotRunButExecuted int `json:"not_run_but_executed"`
	CutByDrain        int `json:"cut_by_drain"`
	TemplateReverts   int `json:"template_reverts"`
	InvariantsBroken  int `json:"invariants_broken"`
	TokensGenerated   int `json:"tokens_generated"`
	TokensRecomputed  int `json:"tokens_recomputed"`
	TokensRequired    int `json:"tokens_required"`
	// TokensLost is the number of recomputed tokens that resumed or repeated
	// attempts computed. The others were part of an earlier prompt but were
	// not reused from a cache.
	TokensLost int `json:"tokens_recomputed_lost"`

	TemplateConvergeP99 float64 `json:"template_converge_p99_s"`
	NewWorkAfterDrain   float64 `json:"new_work_after_drain_s"`
	TTFTP50             float64 `json:"ttft_p50_s"`
	TTFTP95             float64 `json:"ttft_p95_s"`
	UrgentTTFTP95       float64 `json:"urgent_ttft_p95_s"`
	InterTokenP95       float64 `json:"inter_token_p95_s"`
	UrgentInterTokenP95 float64 `json:"urgent_inter_token_p95_s"`
	// DeadlineMet is the fraction of the answered requests whose first
	// token, or reply, arrived within the deadline of their kind.
	DeadlineMet     float64 `json:"deadline_met"`
	Cost            float64 `json:"cost"`
	CostPerAnswered float64 `json:"cost_per_answered"`
	TableReads      float64 `json:"table_reads_per_s"`
	TableWrites     float64 `json:"table_writes_per_s"`
	ControlBytes    float64 `json:"control_bytes_per_s"`
	ControlCore     float64 `json:"control_core_percent"`
	RSS             float64 `json:"rss_mb"`
	AddedLatencyP50 float64 `json:"added_latency_p50_s"`
	AddedLatencyP99 float64 `json:"added_latency_p99_s"`
	Seconds         float64 `json:"seconds"`

	// Violations describes each violated guarantee.
	Violations []string `json:"violations"`

	records []history.Record
}

// Records returns the histories of all requests. They must not be changed.
func (r *Report) Records() []history.Record { return r.records }

// GuaranteesMet reports whether every guarantee was met.
func (r *Report) GuaranteesMet() bool { return len(r.Violations) == 0 }

func (r *run) report(before, after snapshot) Report {
	out := Report{
		Deployment: r.config.Deployment,
		Policy:     r.config.Policy,
		Schedule:   r.config.Schedule,
		Seed:       r.config.Seed,
		Load:       r.config.Load,
		Violations: []string{},
	}
	records := r.history.Records()
	out.records = records
	out.countOutcomes(records)
	out.countCalls(records, after)
	r.setTimes(&out, records)
	out.setTokens(records, before, after)
	out.setRates(before, after)
	for _, v := range history.Check(records, after.records, history.Exemptions{InterruptedAttached: r.entryKilled.Load()}) {
		out.Violations = append(out.Violations, v.Guarantee+": "+v.Detail)
	}
	out.Violations = append(out.Violations, r.failures...)
	out.InvariantsBroken = int(after.invariants - before.invariants)
	out.TemplateReverts = int(after.reverts - before.reverts)
	if out.InvariantsBroken > 0 {
		out.Violations = append(out.Violations, "invariants broken: "+strconv.Itoa(out.InvariantsBroken))
	}
	if !r.entryKilled.Load() {
		out.CutByDrain = out.LostAnswers
	}
	return out
}

func (out *Report) countOutcomes(records []history.Record) {
	out.Requests = len(records)
	for _, r := range records {
		switch r.Outcome {
		case history.Complete:
			out.AnsweredWhole++
		case history.NotRun:
			out.RefusedNotRun++
		case history.MayHaveRun:
			out.MayHaveRun++
		case history.Lost:
			out.LostAnswers++
		case history.Misdelivered:
			out.CrossedAnswers++
		}
	}
}

func (out *Report) countCalls(records []history.Record, after snapshot) {
	refused := make(map[string]bool)
	for _, r := range records {
		if r.Outcome == history.NotRun && r.Request.Key != "" {
			refused[r.Request.ServiceKey()] = true
		}
	}
	for _, service := range after.records.Services {
		for key, n := range service.Executions {
			if n > 1 {
				out.DuplicateExecs += n - 1
			}
			if n > 0 && refused[key] {
				out.NotRunButExecuted++
			}
		}
	}
}

func (r *run) setTimes(out *Report, records []history.Record) {
	all, urgent, gaps, urgentGaps := newTimings(), newTimings(), newTimings(), newTimings()
	met, answered := 0, 0
	for _, rec := range records {
		if rec.Outcome != history.Complete {
			continue
		}
		answered++
		if kind, ok := r.template.Kind(rec.Request.Class.Kind); ok && rec.FirstToken <= kind.Deadline.Std() {
			met++
		}
		if rec.Request.Class.Chat == nil {
			continue
		}
		all.add(rec.FirstToken)
		if rec.Request.Class.Urgent {
			urgent.add(rec.FirstToken)
		}
		for _, g := range rec.Gaps {
			gaps.add(g)
			if rec.Request.Class.Urgent {
				urgentGaps.add(g)
			}
		}
	}
	out.TTFTP50, out.TTFTP95, out.UrgentTTFTP95 = all.percentile(50), all.percentile(95), urgent.percentile(95)
	out.InterTokenP95, out.UrgentInterTokenP95 = gaps.percentile(95), urgentGaps.percentile(95)
	if answered > 0 {
		out.DeadlineMet = float64(met) / float64(answered)
	}
	converged := newTimings()
	for _, d := range r.convergenceTimes {
		converged.add(d)
	}
	out.TemplateConvergeP99 = converged.percentile(99)
	for _, d := range r.newWorkTimes {
		out.NewWorkAfterDrain = max(out.NewWorkAfterDrain, d.Seconds())
	}
}

// setTokens compares the tokens that the engines computed with the minimum that
// the answers required: every block of a customer's prompts once, and every
// token of an answer once.
func (out *Report) setTokens(records []history.Record, before, after snapshot) {
	seen := make(map[uint64]bool)
	prompts, answers := 0, 0
	for _, r := range records {
		if r.Request.Class.Chat == nil || !r.Accepted {
			continue
		}
		prompts += firstSeenTokens(seen, r)
		answers += r.Tokens
	}
	prefilled := int(after.records.Totals.PrefilledTokens - before.records.Totals.PrefilledTokens)
	generated := int(after.records.Totals.GeneratedTokens - before.records.Totals.GeneratedTokens)
	out.TokensGenerated = generated
	out.TokensRequired = prompts + answers
	out.TokensRecomputed = max(0, prefilled-prompts) + max(0, generated-answers)
	out.TokensLost = max(0, generated-answers) + repeatedPrefill(after.records)
}

// repeatedPrefill returns the number of tokens prefilled by all attempts of a
// request after its first.
func repeatedPrefill(records standin.Records) int {
	total := make(map[string]int)
	first := make(map[string]int)
	for _, attempts := range records.Attempts {
		for _, a := range attempts {
			total[a.RequestID] += a.PrefilledTokens
			if a.ResumeTokens == 0 {
				first[a.RequestID] = max(first[a.RequestID], a.PrefilledTokens)
			}
		}
	}
	sum := 0
	for id, n := range total {
		sum += n - first[id]
	}
	return sum
}

// firstSeenTokens returns the number of prompt tokens that no earlier prompt of
// the customer contained.
func firstSeenTokens(seen map[uint64]bool, r history.Record) int {
	hashes, tokens := prefix.Hashes(r.Request.Customer.Name, prefix.Text(r.Request.Messages))
	for _, h := range hashes {
		if seen[h] {
			tokens -= prefix.BlockTokens
		}
		seen[h] = true
	}
	return tokens
}

func (out *Report) setRates(before, after snapshot) {
	out.Seconds = after.at.Sub(before.at).Seconds()
	out.Cost = after.records.Cost - before.records.Cost
	if out.AnsweredWhole > 0 {
		out.CostPerAnswered = out.Cost / float64(out.AnsweredWhole)
	}
	out.TableReads = float64(after.table.Reads-before.table.Reads) / out.Seconds
	out.TableWrites = float64(after.table.Writes-before.table.Writes) / out.Seconds
	out.RSS = residentMegabytes()
}

func (out *Report) setIdleUsage(i idleUsage) {
	out.ControlBytes = i.peerBytes
	out.ControlCore = i.corePercent
}

func (out *Report) setAddedLatency(a callTimes) {
	out.AddedLatencyP50 = a.viaEntry.percentile(50) - a.direct.percentile(50)
	out.AddedLatencyP99 = a.viaEntry.percentile(99) - a.direct.percentile(99)
}

// residentMegabytes returns the resident memory of this process, which includes
// the stand-ins.
func residentMegabytes() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
