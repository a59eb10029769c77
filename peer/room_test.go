package peer

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDemandSurvivesTheWire guards against classes that are lost or mixed up in
// their short form.
func TestDemandSurvivesTheWire(t *testing.T) {
	d := ServiceDemand{
		Classes: ClassDemands{0: {"a": {0.12, 5}, "b \"quoted\"": {1, 0.5}}, 2: {"a": {130, 7}}},
		Waiting: map[int]float64{2: 0.5}, InFlight: 3, Accepted: 2,
	}
	text, err := json.Marshal(d)
	qt.Assert(t, err, qt.IsNil)
	var got ServiceDemand
	qt.Assert(t, json.Unmarshal(text, &got), qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, d)
	// A peer may send anything.
	qt.Check(t, json.Unmarshal([]byte(`{"d":{"a":[0,1],"b":[0,1,2,3]}}`), &got), qt.IsNil)
	qt.Check(t, got.Classes, qt.DeepEquals, ClassDemands{0: {"b": {1, 2}}})
}
