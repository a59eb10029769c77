package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollout"
	"github.com/coltsfootcleat/coltsfootcleat/internal/response"
)

// rolloutsLeftOut is the reason that is printed if only the stage is known.
const rolloutsLeftOut = "(more at the entry that holds the lease)"

// printRollouts prints the roll-outs that an entry on the users' platform knows, given
// the address of its metrics.
func (c *statusCommand) printRollouts(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/rollouts", nil)
	if err != nil {
		return usageError{err.Error()}
	}
	resp, err := (&http.Client{Timeout: c.timeout}).Do(req)
	if err != nil {
		return fmt.Errorf("read roll-outs: %w", err)
	}
	defer resp.Body.Close()
	if err := response.Check(resp); err != nil {
		return fmt.Errorf("read roll-outs: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read roll-outs: status %d", resp.StatusCode)
	}
	var all []rollout.Overview
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return fmt.Errorf("decode roll-outs: %w", err)
	}
	if c.json {
		return printJSON(c.out, all)
	}
	return writeRollouts(c.out, all)
}

func writeRollouts(out io.Writer, all []rollout.Overview) error {
	t := newTable(out)
	t.row("SERVICE", "TO", "STAGE", "LEFT", "SENT", "REQUESTS", "FRACTION", "NEW", "OLD", "REASON")
	for _, o := range all {
		if !o.Holder {
			t.row(o.Service, o.To, o.Stage, "", "", "", "", "", "", o.Reason+" "+rolloutsLeftOut)
			continue
		}
		t.row(o.Service, o.To, o.Stage, fmt.Sprintf("%.1fs", float64(o.LeftMS)/1000), o.Sent, o.Requests,
			fmt.Sprintf("%.3f", o.Fraction), o.NewReplicas, o.OldReplicas, o.Reason)
	}
	t.row("\nSERVICE", "ROUTE", "ANSWERS", "FAILURES", "FIRST TOKEN", "BETWEEN TOKENS")
	for _, o := range all {
		for _, route := range slices.Sorted(maps.Keys(o.Routes)) {
			r := o.Routes[route]
			t.row(o.Service, route, r.Answers, fmt.Sprintf("%.1f", r.Failures), fmt.Sprintf("%.1f", r.First), fmt.Sprintf("%.1f", r.Pace))
		}
	}
	return t.Flush()
}
