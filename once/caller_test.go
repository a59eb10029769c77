package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// TestWaitEndsWithCallerContext checks that waiting for the outcome of another
// entry's attempt ends with the caller's context.
func TestWaitEndsWithCallerContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		svc := newFakeService()
		one := New(table, Options{EntryID: "e1"})
		two := New(table, Options{EntryID: "e2"})
		defer one.Close()
		defer two.Close()
		go func() {
			_, err := one.Do(t.Context(), testKey, testBody, func(_ context.Context, attempt string) (endpoint.Reply, error) {
				time.Sleep(20 * time.Second)
				return svc.execute(attempt), nil
			})
			c.Check(err, qt.IsNil)
		}()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := two.Do(ctx, testKey, testBody, svc.send)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeInProgress)
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	})
}

// TestCallerLeavesDuringSend checks that the outcome of a send is recorded even
// if its caller's context has ended.
func TestCallerLeavesDuringSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		svc := newFakeService()
		store := New(table, Options{EntryID: "e1"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := store.Do(ctx, testKey, testBody, func(ctx context.Context, attempt string) (endpoint.Reply, error) {
			if !ctxtime.Sleep(ctx, 5*time.Second) {
				return endpoint.Reply{}, ctx.Err()
			}
			return svc.execute(attempt), nil
		})
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		store.Close()

		other := New(table, Options{EntryID: "e2"})
		defer other.Close()
		_, err = other.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(err, qt.IsNil)
		c.Assert(svc.count(), qt.Equals, 1)
	})
}

// TestCallerLeavesDuringClaim checks that the call is not sent if its caller's
// context ends during the claim, and that a retry can execute it.
func TestCallerLeavesDuringClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		table.SetFaults(standin.TableFaults{Latency: time.Second})
		svc := newFakeService()
		store := New(table, Options{EntryID: "e1"})
		defer store.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := store.Do(ctx, testKey, testBody, svc.send)
		c.Assert(resultOf(err), qt.Equals, "not_run")
		c.Assert(svc.count(), qt.Equals, 0)
		_, err = store.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(err, qt.IsNil)
		c.Assert(svc.count(), qt.Equals, 1)
	})
}

// TestCloseReturnsAfterTimeout checks that Close returns within its timeout
// while a send hangs and outcomes can't be written.
func TestCloseReturnsAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		store := New(table, Options{EntryID: "e1", SendTimeout: time.Hour})
		go func() {
			_, err := store.Do(t.Context(), testKey, testBody, func(ctx context.Context, _ string) (endpoint.Reply, error) {
				<-ctx.Done()
				return endpoint.Reply{}, ctx.Err()
			})
			c.Check(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		}()
		synctest.Wait()
		table.SetFaults(standin.TableFaults{Hang: true})
		began := time.Now()
		store.Close()
		c.Assert(time.Since(began) <= defaultCloseTimeout+2*defaultTableTimeout, qt.IsTrue)
		_, err := store.Do(t.Context(), testKey, testBody, newFakeService().send)
		c.Assert(resultOf(err), qt.Equals, "not_run")
	})
}
