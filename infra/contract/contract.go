// Package contract contains the tests that every implementation of the
// interfaces of package infra must pass, including their behaviour under
// faults. They run in virtual time (testing/synctest). Each implementation
// calls Run with a function that returns a fixture.
package contract

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Fault is a failure that a fixture can switch on.
type Fault string

// Faults of all services.
const (
	FaultNone Fault = "none"
	// FaultOutage refuses each call before it has an effect.
	FaultOutage Fault = "outage"
	// FaultHang blocks each call until its context ends.
	FaultHang Fault = "hang"
	// FaultLostAnswer loses the answer of each write after it took effect.
	FaultLostAnswer Fault = "lost answer"
	// FaultLostRequest loses each write before it takes effect.
	FaultLostRequest Fault = "lost request"
	// FaultLateRequest loses the answer of each write, which takes effect
	// after its caller received an error.
	FaultLateRequest Fault = "late request"
)

// callTimeout bounds the calls of the fault cases.
const callTimeout = 2 * time.Second

// maxLateWriteDelay is longer than the delay of late writes in any fixture.
const maxLateWriteDelay = time.Minute

// Fixture is a platform under test.
type Fixture struct {
	Table       infra.Table
	Objects     infra.Objects
	HostList    infra.HostList
	Cloud       infra.Cloud
	WeightStore infra.WeightStore
	// SetFault activates one fault on all services and clears all others.
	SetFault func(Fault)
	// SetHosts adds or replaces hosts of the host list and the cloud.
	SetHosts func(...infra.Host)
	// SetListLag sets the lag of the host list.
	SetListLag func(time.Duration)
	// SetOffers replaces the offers of the cloud.
	SetOffers func(...infra.Offer)
	// Refuse makes the cloud refuse requests for hosts in a failure domain.
	Refuse func(failureDomain string)
	// Announce announces a reclaim; readers see the notice after delay, and
	// two notices if twice is set.
	Announce func(hostID string, remaining, delay time.Duration, twice bool)
	// Publish adds a version of a model to the weight store.
	Publish func(model, version string)
}

// New returns a fixture with an empty platform whose weight store allows one
// load to start every 10 seconds. It is called inside the test's synctest
// bubble and registers its cleanup with t.
type New func(t *testing.T) Fixture

// Run runs the tests of all services of the platform.
func Run(t *testing.T, newFixture New) {
	t.Run("Table", func(t *testing.T) { RunTable(t, newFixture) })
	t.Run("Objects", func(t *testing.T) { RunObjects(t, newFixture) })
	t.Run("HostList", func(t *testing.T) { RunHostList(t, newFixture) })
	t.Run("Cloud", func(t *testing.T) { RunCloud(t, newFixture) })
	t.Run("WeightStore", func(t *testing.T) { RunWeightStore(t, newFixture) })
	t.Run("Faults", func(t *testing.T) { RunFaults(t, newFixture) })
}

// bubble runs one test in virtual time, in a synctest bubble.
func bubble(t *testing.T, name string, newFixture New, test func(c *qt.C, f Fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(qt.New(t), newFixture(t))
		})
	})
}

// checkVerdict asserts that err is not nil and has one of the verdicts.
func checkVerdict(c *qt.C, err error, want ...verdict.Verdict) {
	c.Helper()
	c.Assert(err, qt.IsNotNil)
	var verdictErr *verdict.Error
	c.Assert(errors.As(err, &verdictErr), qt.IsTrue, qt.Commentf("%v has no verdict", err))
	c.Assert(want, qt.Contains, verdict.Of(err), qt.Commentf("%v", err))
}

// timeout returns a context for a call of a fault case.
func timeout(c *qt.C) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.TB.Context(), callTimeout)
}
