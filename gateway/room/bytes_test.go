package room

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// TestReportsStayWithinTheControlBudget guards against reports that take much of the
// 7 KB/s that an entry may send and receive.
func TestReportsStayWithinTheControlBudget(t *testing.T) {
	for name, s := range map[string]scenario{"calm": {}, "short": {load: 2, burst: true}} {
		p := newPlay(s.with(withRoom, 58))
		largest := 0
		p.after(11, func() {
			sum := peer.ServiceDemand{}
			for _, c := range p.entry {
				sum.Add(c.Report(p.time())["s"], 1)
			}
			own, _ := json.Marshal(p.entry[3].Report(p.time()))
			total, _ := json.Marshal(map[string]peer.ServiceDemand{"s": sum.Compact()})
			largest = 2 * (len(own) + len(total))
		})
		p.run()
		t.Logf("%s: %d bytes a second", name, largest)
		qt.Check(t, largest < 2800, qt.IsTrue, qt.Commentf("%s: %d", name, largest))
	}
}
