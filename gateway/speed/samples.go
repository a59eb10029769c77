package speed

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// Memory is the time constant of the persistent estimates. At eight samples a
	// second it covers 240 of them. The duration of a plain service's requests is
	// about exponential, so its estimates are then within 7 % (one standard
	// deviation).
	Memory = 30 * time.Second
	// transientMemory is the time constant of the transient estimates.
	transientMemory = 250 * time.Millisecond
	// maxSampleTime and maxSampleRatio bound the samples that count: the time, and
	// its ratio to the predicted one in both directions.
	maxSampleTime  = time.Minute
	maxSampleRatio = 256.0
	// halfWeightTime is the predicted time of a prompt whose sample has half the
	// weight of a very long one's. An unknown queue of a few tens of milliseconds
	// distorts the samples of short prompts.
	halfWeightTime = 50 * time.Millisecond
	// maxSampleFactor bounds a sample relative to the current estimate, so that a
	// prompt part that was wrongly expected to be cached, or an unknown queue, has
	// little influence.
	maxSampleFactor = 4.0
	// maxLevelFactor is the same for the mean of all samples.
	maxLevelFactor = 8.0
	// levelSamples is the number of samples that the mean covers, and
	// minLevelSamples the number that it needs before samples count.
	levelSamples    = 100.0
	minLevelSamples = 5
	// priorWeight is the weight of the held estimate relative to the samples, and
	// transientPrior that of a transient estimate of 1.
	priorWeight    = 4.0
	transientPrior = 3.0
	// holdTime is the time constant with which the held estimate follows the
	// samples.
	holdTime = 10 * time.Second
	// maxSpeed bounds estimates in both directions, as a factor.
	maxSpeed = 4.0
	// minReportedWeight is the weight below which samples are not reported.
	minReportedWeight = 0.05
	// maxPeerWeight bounds the weight of the other entries, which is about 260 if
	// they receive eight answers a second.
	maxPeerWeight = 1000.0
	// fastExponent makes the mean of prefill samples follow the fastest of them. Those
	// found no queue, whatever the load, so that a loaded replica doesn't look slow. If
	// a half of the samples waited long, the mean is 16 % too low.
	fastExponent = -4.0
	// logFactor is the logarithm of the change of an estimate that is logged, once
	// it has minLoggedWeight samples.
	logFactor       = 0.3
	minLoggedWeight = 20.0
)

// exponents holds the exponent of the mean of relative times by kind. The durations
// of plain requests are not known in advance, so that only their mean tells the
// speed, and the samples of decoding leave out the influence of the load.
var exponents = [kinds]float64{Prefill: fastExponent, Decode: 1, Work: 1}

// decaying is a sum of samples as of a time.
type decaying struct {
	sum  peer.SpeedSample
	asOf time.Time
}

// at returns the sum with the decay of the persistent estimates.
func (d decaying) at(now time.Time) peer.SpeedSample { return d.after(now, Memory) }

func (d decaying) after(now time.Time, memory time.Duration) peer.SpeedSample {
	factor := math.Exp(-max(0, now.Sub(d.asOf)).Seconds() / memory.Seconds())
	return peer.SpeedSample{Weight: d.sum.Weight * factor, Time: d.sum.Time * factor}
}

func (d *decaying) add(now time.Time, memory time.Duration, weight, time float64) {
	d.sum = d.after(now, memory)
	d.sum.Weight += weight
	d.sum.Time += weight * time
	d.asOf = now
}

// kindState holds the samples and estimates of one kind for one replica.
type kindState struct {
	// own and peers are the samples of this entry and of all others. transient is
	// this entry's samples relative to the persistent estimate.
	own, peers, transient decaying
	// held is the logarithm of the estimate without new samples. It isn't reset
	// by time, so that a replica without requests keeps its estimate.
	held float64
	// known is set once there has been a sample. raw is the logarithm of the
	// estimate before it is related to the mean of the service, and weight is
	// that of its samples.
	known       bool
	raw, weight float64
	// persistent is the estimate relative to the mean of the service. logged is
	// the last logged one, or 0.
	persistent, logged float64
}

// refresh computes the estimate from the samples, the given time after the last
// computation.
func (k *kindState) refresh(now time.Time, since time.Duration, exponent float64) {
	own, peers := k.own.at(now), k.peers.at(now)
	k.weight = own.Weight + peers.Weight
	k.known = k.known || k.weight > 0
	if !k.known {
		return
	}
	k.raw = k.held
	if sum := (peer.SpeedSample{Weight: k.weight, Time: own.Time + peers.Time}); sum.Time > 0 {
		k.raw = (k.weight*sum.LogSpeed()/exponent + priorWeight*k.held) / (k.weight + priorWeight)
	}
	k.held += (k.raw - k.held) * (1 - math.Exp(-since.Seconds()/holdTime.Seconds()))
}

// lasting returns the persistent estimate.
func (k *kindState) lasting() float64 {
	if k.persistent == 0 {
		return 1
	}
	return k.persistent
}

// current returns the persistent estimate, reduced by the transient one.
func (k *kindState) current(now time.Time) float64 {
	t := k.transient.after(now, transientMemory)
	return bounded(k.lasting() * min(1, (t.Weight+transientPrior)/(t.Time+transientPrior)))
}

func bounded(speed float64) float64 { return min(max(speed, 1/maxSpeed), maxSpeed) }

// level is the mean of the samples of a service and kind at this entry, each
// multiplied by the estimate of its replica. Dividing samples by it removes what
// all replicas have in common: the unit of the predictions, and their error. It
// keeps the estimates from drifting together, also if only some of the replicas
// get requests, because the estimates of those are what it is relative to.
type level struct {
	// power is the sum of the samples to the power of the kind's exponent, and linear
	// that of the samples themselves.
	weight, power, linear float64
	samples               int
}

// observe adds a sample, the ratio of the measured to the predicted time, to the
// level and to the replica.
func (l *level) observe(now time.Time, k *kindState, ratio, weight, exponent float64) {
	speed := math.Exp(k.raw)
	relative := ratio * speed
	mean, linear := 1.0, 1.0
	if l.samples >= minLevelSamples {
		mean, linear = math.Pow(l.power/l.weight, 1/exponent), l.linear/l.weight
		relative = min(max(relative, mean/maxLevelFactor), mean*maxLevelFactor)
	}
	l.samples++
	l.weight = l.weight*(1-1/levelSamples) + weight
	l.power = l.power*(1-1/levelSamples) + weight*math.Pow(relative, exponent)
	l.linear = l.linear*(1-1/levelSamples) + weight*relative
	if l.samples <= minLevelSamples {
		return
	}
	toMean := min(max(relative/mean, 1/maxSampleFactor), maxSampleFactor)
	k.own.add(now, Memory, weight, math.Pow(toMean/speed, exponent))
	k.transient.add(now, transientMemory, weight, min(relative/linear, maxSampleFactor))
}
