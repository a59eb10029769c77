package peer

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against peers of earlier releases, which state no urgency: their requests must
// not count as of some urgency, and they must be able to read those of this release.
func TestUrgencyIsOptionalInReservations(t *testing.T) {
	var p reserveParams
	qt.Assert(t, json.Unmarshal([]byte(`{"c":"a","n":5,"p":50,"r":true}`), &p), qt.IsNil)
	qt.Check(t, p.request(), qt.Equals, LimitRequest{Units: 5, Within: 50 * time.Millisecond, Urgency: UnknownUrgency})
	text, err := json.Marshal(reserveParams{Customer: "a", Units: 5, UrgencyPlus1: 3, Returning: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(text), qt.Equals, `{"c":"a","n":5,"u":3,"b":true}`)
	var earlier struct {
		Customer string  `json:"c"`
		Units    float64 `json:"n"`
	}
	qt.Assert(t, json.Unmarshal(text, &earlier), qt.IsNil)
	qt.Check(t, earlier.Units, qt.Equals, 5.0)
	// A hostile urgency is that of an unknown one.
	qt.Assert(t, json.Unmarshal([]byte(`{"u":-7}`), &p), qt.IsNil)
	qt.Check(t, p.request().Urgency, qt.Equals, UnknownUrgency)
}
