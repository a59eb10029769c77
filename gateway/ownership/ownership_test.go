package ownership

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

func keepersOf(ids *[]string, now *time.Time) *Owners {
	return New(func() time.Time { return *now }, func() []string { return *ids }, nolog.Or(nil))
}

// Entries that hear the same members in any order agree, and a member that goes
// moves only what it kept.
func TestKeepersAreAgreedOnAndMoveLittle(t *testing.T) {
	now := time.Unix(1000, 0)
	ids, reversed, fewer := []string{"a", "b", "c", "d"}, []string{"d", "c", "b", "a"}, []string{"a", "b", "c"}
	x, y, z := keepersOf(&ids, &now), keepersOf(&reversed, &now), keepersOf(&fewer, &now)
	kept := make(map[string]int)
	for i := range 400 {
		matter := fmt.Sprint(i)
		of := x.Owner(matter)
		kept[of]++
		qt.Assert(t, y.Owner(matter), qt.Equals, of)
		if of != "d" {
			qt.Assert(t, z.Owner(matter), qt.Equals, of)
		}
	}
	for _, id := range ids {
		qt.Check(t, kept[id] > 50, qt.IsTrue, qt.Commentf("%s keeps %d of 400", id, kept[id]))
	}
}

func TestSilentKeeperIsLeftAloneForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	ids := []string{"a", "b"}
	k := keepersOf(&ids, &now)
	k.MarkUnreachable("a", errors.New("no answer"))
	qt.Assert(t, k.Available("a"), qt.IsFalse)
	qt.Assert(t, k.Available("b"), qt.IsTrue)
	now = now.Add(askPause)
	qt.Assert(t, k.Available("a"), qt.IsTrue)
}
