// Package contract holds the tests that every implementation of the
// interfaces of package platform must pass, fault cases included. They run in
// virtual time (testing/synctest).
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
	// FaultHang lets each call wait until its context ends.
	FaultHang Fault = "hang"
	// FaultLostAnswer lets each write take effect and loses its answer.
	FaultLostAnswer Fault = "lost answer"
	// FaultLostRequest loses each write before it takes effect.
	FaultLostRequest Fault = "lost request"
	// FaultLateRequest loses each write's answer; it takes effect after its
	// caller was told.
	FaultLateRequest Fault = "late request"
)

// callTimeout bounds the calls of the fault cases.
const callTimeout = 2 * time.Second

// settle is longer than any fixture takes to let a late write take effect.
const settle = time.Minute

// Fixture is a platform under test.
type Fixture struct {
	Table       infra.Table
	Objects     infra.Objects
	HostList    infra.HostList
	Cloud       infra.Cloud
	WeightStore infra.WeightStore
	// SetFault puts one fault in force on all services.
	SetFault func(Fault)
	// SetHosts replaces what the host list and the cloud know.
	SetHosts func(...infra.Host)
	// SetListLag sets how far the host list is behind.
	SetListLag func(time.Duration)
	// SetOffers replaces what the cloud sells.
	SetOffers func(...infra.Offer)
	// Refuse lets the cloud refuse hosts of a failure domain.
	Refuse func(failureDomain string)
	// Announce gives notice of a reclaim; delay holds it back.
	Announce func(hostID string, remaining, delay time.Duration, twice bool)
	// Publish adds a version of a model to the weight store.
	Publish func(model, version string)
}

// New returns a fixture with an empty platform whose weight store lets one
// load begin every ten seconds. It is called inside the test's bubble and
// cleans up after itself.
type New func(t *testing.T) Fixture

// Run runs all tests of the platform's services.
func Run(t *testing.T, newFixture New) {
	t.Run("Table", func(t *testing.T) { RunTable(t, newFixture) })
	t.Run("Objects", func(t *testing.T) { RunObjects(t, newFixture) })
	t.Run("HostList", func(t *testing.T) { RunHostList(t, newFixture) })
	t.Run("Cloud", func(t *testing.T) { RunCloud(t, newFixture) })
	t.Run("WeightStore", func(t *testing.T) { RunWeightStore(t, newFixture) })
	t.Run("Faults", func(t *testing.T) { RunFaults(t, newFixture) })
}

// bubble runs one test in virtual time.
func bubble(t *testing.T, name string, newFixture New, test func(c *qt.C, f Fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(qt.New(t), newFixture(t))
		})
	})
}

// checkVerdict asserts that an error is there and has one of the verdicts.
func checkVerdict(c *qt.C, err error, want ...verdict.Verdict) {
	c.Helper()
	c.Assert(err, qt.IsNotNil)
	var carried *verdict.Error
	c.Assert(errors.As(err, &carried), qt.IsTrue, qt.Commentf("%v carries no verdict", err))
	c.Assert(want, qt.Contains, verdict.Of(err), qt.Commentf("%v", err))
}

func timeout(c *qt.C) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.TB.Context(), callTimeout)
}
