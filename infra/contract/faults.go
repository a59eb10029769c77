package contract

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// call calls one method of a service.
type call struct {
	name string
	do   func(ctx context.Context, f Fixture) error
}

func reads() []call {
	return []call{
		{"table get", func(ctx context.Context, f Fixture) error { _, _, err := f.Table.Get(ctx, "k"); return err }},
		{"table scan", func(ctx context.Context, f Fixture) error { _, err := f.Table.Scan(ctx, "k"); return err }},
		{"objects get", func(ctx context.Context, f Fixture) error { _, _, err := f.Objects.Get(ctx, "k"); return err }},
		{"host list", func(ctx context.Context, f Fixture) error { _, err := f.HostList.Hosts(ctx); return err }},
		{"cloud offers", func(ctx context.Context, f Fixture) error { _, err := f.Cloud.Offers(ctx); return err }},
		{"cloud notices", func(ctx context.Context, f Fixture) error { _, err := f.Cloud.Notices(ctx, 0); return err }},
		{"weight versions", func(ctx context.Context, f Fixture) error { _, err := f.WeightStore.Versions(ctx, "m"); return err }},
	}
}

func writes() []call {
	return []call{
		{"table commit", commit},
		{"objects put", func(ctx context.Context, f Fixture) error { return f.Objects.Put(ctx, "k", []byte("v")) }},
		{"objects delete", func(ctx context.Context, f Fixture) error { return f.Objects.Delete(ctx, "k") }},
		{"cloud request", func(ctx context.Context, f Fixture) error { _, err := f.Cloud.Request(ctx, exampleRequest); return err }},
		{"cloud release", func(ctx context.Context, f Fixture) error { return f.Cloud.Release(ctx, "h") }},
		{"weight reserve", func(ctx context.Context, f Fixture) error { _, err := f.WeightStore.Reserve(ctx, "m", "1"); return err }},
	}
}

func commit(ctx context.Context, f Fixture) error {
	_, err := f.Table.Commit(ctx, infra.Write{Key: "k", Value: []byte("v")})
	return err
}

// RunFaults runs the fault cases of all services.
func RunFaults(t *testing.T, newFixture New) {
	runOutages(t, newFixture)
	runLosses(t, newFixture)
	bubble(t, "a conflict whose answer is lost is no conflict", newFixture, lostConflict)
}

// runOutages checks that every call fails with the right verdict in time and
// has no effect, and succeeds after the fault.
func runOutages(t *testing.T, newFixture New) {
	for _, test := range []struct {
		fault   Fault
		verdict verdict.Verdict
		within  time.Duration
	}{
		{FaultOutage, verdict.NotRun, time.Second},
		{FaultHang, verdict.MayHaveRun, callTimeout},
	} {
		for _, call := range append(reads(), writes()...) {
			bubble(t, string(test.fault)+"/"+call.name, newFixture, func(c *qt.C, f Fixture) {
				f.SetOffers(exampleOffer)
				f.Publish("m", "1")
				f.SetFault(test.fault)
				ctx, cancel := timeout(c)
				defer cancel()
				start := time.Now()
				checkVerdict(c, call.do(ctx, f), test.verdict)
				c.Assert(time.Since(start) <= test.within, qt.IsTrue)
				f.SetFault(FaultNone)
				checkEmpty(c, f)
				c.Assert(call.do(c.TB.Context(), f), qt.IsNil)
			})
		}
	}
}

// checkEmpty asserts that no write took effect.
func checkEmpty(c *qt.C, f Fixture) {
	rows, err := f.Table.Scan(c.TB.Context(), "")
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 0)
	_, found, err := f.Objects.Get(c.TB.Context(), "k")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsFalse)
	hosts, err := f.HostList.Hosts(c.TB.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(hosts, qt.HasLen, 0)
}

// runLosses checks commits whose answer or request is lost. Their callers can't
// distinguish these cases and get verdict.MayHaveRun in both.
func runLosses(t *testing.T, newFixture New) {
	for _, test := range []struct {
		fault                       Fault
		appliedAtOnce, appliedAtEnd bool
	}{
		{FaultLostAnswer, true, true},
		{FaultLostRequest, false, false},
		{FaultLateRequest, false, true},
	} {
		bubble(t, string(test.fault), newFixture, func(c *qt.C, f Fixture) {
			f.SetFault(test.fault)
			ctx, cancel := timeout(c)
			defer cancel()
			checkVerdict(c, commit(ctx, f), verdict.MayHaveRun)
			f.SetFault(FaultNone)
			_, found, err := f.Table.Get(c.TB.Context(), "k")
			c.Assert(err, qt.IsNil)
			c.Assert(found, qt.Equals, test.appliedAtOnce)
			time.Sleep(maxLateWriteDelay)
			rows, err := f.Table.Scan(c.TB.Context(), "k")
			c.Assert(err, qt.IsNil)
			c.Assert(len(rows) == 1, qt.Equals, test.appliedAtEnd)
		})
	}
}

// lostConflict checks that a commit whose expectation fails is not reported as
// a conflict if its answer is lost: the caller can't exclude that it was
// applied.
func lostConflict(c *qt.C, f Fixture) {
	c.Assert(commit(c.TB.Context(), f), qt.IsNil)
	f.SetFault(FaultLostAnswer)
	ctx, cancel := timeout(c)
	defer cancel()
	err := commit(ctx, f)
	checkVerdict(c, err, verdict.MayHaveRun)
	var conflict *infra.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsFalse)
}
