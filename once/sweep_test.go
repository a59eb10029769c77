package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// TestPausedBeyondTheTimeToLive pauses an entry between its claim and its send
// until its row was swept and another entry has used the key.
func TestPausedBeyondTheTimeToLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const ttl = 8 * time.Hour
		table := standin.NewTable(1)
		svc := newFakeService()
		ctx, cancel := context.WithCancel(t.Context())
		go NewSweeper(table, ttl, nil).Run(ctx)

		paused := newProcess(table, afterInsert)
		one, two := New(paused, Options{EntryID: "e1"}), New(table, Options{EntryID: "e2"})
		defer two.Close()
		defer one.Close()
		result := make(chan string, 1)
		go func() {
			_, err := one.Do(t.Context(), testKey, testBody, paused.sender(svc.send))
			result <- resultOf(err)
		}()
		<-paused.stopped
		time.Sleep(3 * ttl)
		_, err := two.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(err, qt.IsNil)
		paused.Resume()
		c.Assert(<-result, qt.Equals, "not_run")
		c.Assert(svc.count(), qt.Equals, 1)

		// Later writes of e1 must not change the row of e2.
		time.Sleep(time.Minute)
		_, err = one.Do(t.Context(), testKey, testBody, svc.send)
		c.Assert(err, qt.IsNil)
		c.Assert(svc.count(), qt.Equals, 1)
		cancel()
		synctest.Wait()
	})
}
