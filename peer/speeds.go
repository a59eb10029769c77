package peer

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// SpeedKinds is the number of kinds of speed samples: prefill, decode and work.
const SpeedKinds = 3

const (
	// maxSpeedWeight and maxLogSpeed bound a sum of samples. A peer that exceeds
	// them is faulty. The logarithm is that of the fourth power of a speed for some
	// kinds.
	maxSpeedWeight = 1e6
	maxLogSpeed    = 6
	// logSpeedSteps is the number of steps of the logarithm of a speed on the wire.
	logSpeedSteps = 100
)

// SpeedSample is a decayed sum of measurements of one kind.
type SpeedSample struct {
	// Weight is the number of measurements, weighted by how much they tell.
	Weight float64
	// Time is the weighted sum of the measured times, each relative to the time
	// expected at speed 1 and to the power of an exponent that depends on the kind.
	Time float64
}

// LogSpeed returns the logarithm of the mean speed, multiplied by the exponent.
func (s SpeedSample) LogSpeed() float64 { return math.Log(s.Weight / s.Time) }

// Valid reports whether the sum can be the one of a correct peer.
func (s SpeedSample) Valid() bool {
	return s.Weight > 0 && s.Weight <= maxSpeedWeight && s.Time > 0 && math.Abs(s.LogSpeed()) <= maxLogSpeed
}

// SpeedSamples are the sums of all kinds for one incarnation of a replica.
type SpeedSamples struct {
	Incarnation int64
	// Kinds is indexed by speed.Kind. Kinds without samples are zero.
	Kinds [SpeedKinds]SpeedSample
}

// MarshalJSON writes a string, to keep the reports of many replicas small: the
// incarnation in base 36, and for each kind the weight and the logarithm of the
// speed in hundredths.
func (s SpeedSamples) MarshalJSON() ([]byte, error) {
	out := strconv.AppendInt([]byte{'"'}, s.Incarnation, 36)
	end := len(out)
	for _, k := range s.Kinds {
		out = append(out, ' ')
		if k.Valid() {
			out = strconv.AppendFloat(out, k.Weight, 'g', 2, 64)
			out = strconv.AppendInt(append(out, ','), int64(math.Round(k.LogSpeed()*logSpeedSteps)), 10)
			end = len(out)
		}
	}
	return append(out[:end], '"'), nil
}

// UnmarshalJSON reads what MarshalJSON writes. Kinds that can't be understood are
// left out, so that they don't invalidate the rest of a report.
func (s *SpeedSamples) UnmarshalJSON(text []byte) error {
	*s = SpeedSamples{}
	var line string
	if json.Unmarshal(text, &line) != nil {
		return nil
	}
	fields := strings.Split(line, " ")
	incarnation, err := strconv.ParseInt(fields[0], 36, 64)
	if err != nil {
		return nil
	}
	s.Incarnation = incarnation
	for i, field := range fields[1:] {
		weight, steps, found := strings.Cut(field, ",")
		w, weightErr := strconv.ParseFloat(weight, 64)
		l, logErr := strconv.ParseFloat(steps, 64)
		if !found || weightErr != nil || logErr != nil || i >= SpeedKinds {
			continue
		}
		sum := SpeedSample{Weight: w, Time: w / math.Exp(l/logSpeedSteps)}
		if sum.Valid() {
			s.Kinds[i] = sum
		}
	}
	return nil
}

// Scaled returns the sums with all weights multiplied by a factor.
func (s SpeedSamples) Scaled(factor float64) SpeedSamples {
	for i := range s.Kinds {
		s.Kinds[i].Weight *= factor
		s.Kinds[i].Time *= factor
	}
	return s
}

// Plus returns the sums with the valid ones of another report of the same
// incarnation added.
func (s SpeedSamples) Plus(o SpeedSamples) SpeedSamples {
	for i, k := range o.Kinds {
		if k.Valid() {
			s.Kinds[i].Weight += k.Weight
			s.Kinds[i].Time += k.Time
		}
	}
	return s
}
