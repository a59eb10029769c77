package ownership

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

func newOwners(ids *[]string, now *time.Time) *Owners {
	return New(func() time.Time { return *now }, func() []string { return *ids }, nolog.Or(nil))
}

// Entries with the same reachable members must agree on owners, whatever the
// order of the members. The removal of a member must move only the keys that it
// owned.
func TestOwnersAgreeAndFewKeysMove(t *testing.T) {
	now := time.Unix(1000, 0)
	ids, reversed, fewer := []string{"a", "b", "c", "d"}, []string{"d", "c", "b", "a"}, []string{"a", "b", "c"}
	x, y, z := newOwners(&ids, &now), newOwners(&reversed, &now), newOwners(&fewer, &now)
	owned := make(map[string]int)
	for i := range 400 {
		key := fmt.Sprint(i)
		owner := x.Owner(key)
		owned[owner]++
		qt.Assert(t, y.Owner(key), qt.Equals, owner)
		if owner != "d" {
			qt.Assert(t, z.Owner(key), qt.Equals, owner)
		}
	}
	for _, id := range ids {
		qt.Check(t, owned[id] > 50, qt.IsTrue, qt.Commentf("%s owns %d of 400", id, owned[id]))
	}
}

func TestUnreachableOwnerIsBackedOff(t *testing.T) {
	now := time.Unix(1000, 0)
	ids := []string{"a", "b"}
	o := newOwners(&ids, &now)
	o.MarkUnreachable("a", errors.New("no answer"))
	qt.Assert(t, o.Available("a"), qt.IsFalse)
	qt.Assert(t, o.Available("b"), qt.IsTrue)
	now = now.Add(unreachableBackoff)
	qt.Assert(t, o.Available("a"), qt.IsTrue)
}
