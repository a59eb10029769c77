package reclaim

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

const (
	// batchWindow is how long notices are collected before a plan is made.
	// Hosts that are reclaimed in one wave then share one plan, which
	// staggers the moves of their streams.
	batchWindow = 100 * time.Millisecond
	// defaultNotice is the notice assumed for a host that drains without a
	// known end.
	defaultNotice = 5 * time.Second
	// maxPendingNotices is the capacity of the queue of notices.
	maxPendingNotices = 4096
)

// Carrier is the stream mover: it lists the running streams and moves them off
// a draining host.
type Carrier interface {
	// Streams returns the streams that are running on a host.
	Streams(hostID string) []Stream
	// Move executes a decision for a stream on the given host. It returns
	// false if the stream has ended.
	Move(hostID string, d Decision) bool
}

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Carrier Carrier
	// Targets returns the endpoints and resources that a plan for the
	// streams may use.
	Targets func(streams []Stream) Targets
	// Log defaults to a logger that discards everything.
	Log *logrus.Entry
}

// Runner plans for the streams of draining hosts and executes the plans.
type Runner struct {
	opts    RunnerOptions
	notices chan notice
}

// notice is a disruption notice: the host will be reclaimed at reclaimAt, by
// the clock of this process.
type notice struct {
	hostID    string
	reclaimAt time.Time
}

// NewRunner returns a Runner, which makes no plans until Run is called.
func NewRunner(opts RunnerOptions) *Runner {
	opts.Log = nolog.Or(opts.Log)
	return &Runner{opts: opts, notices: make(chan notice, maxPendingNotices)}
}

// Announce queues a disruption notice: the host will be reclaimed after
// remaining, or at an unknown time if remaining is 0 or less. It does not
// block. If the queue is full, no plan is made for the host, and its streams
// are resumed when they break.
func (r *Runner) Announce(hostID string, remaining time.Duration) {
	if remaining <= 0 {
		remaining = defaultNotice
	}
	select {
	case r.notices <- notice{hostID, time.Now().Add(remaining)}:
	default:
		r.opts.Log.WithField("host", hostID).Warn("reclaim: notice queue is full; no plan for the streams of the host.")
	}
}

// Run makes and executes plans until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var plans sync.WaitGroup
	defer plans.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.notices:
			wave := r.gather(ctx, first)
			plans.Go(func() { r.drainHosts(ctx, wave) })
		}
	}
}

// gather collects the notices that arrive within batchWindow.
func (r *Runner) gather(ctx context.Context, first notice) []notice {
	wave := []notice{first}
	end := time.After(batchWindow)
	for {
		select {
		case n := <-r.notices:
			wave = append(wave, n)
		case <-end:
			return wave
		case <-ctx.Done():
			return wave
		}
	}
}

// drainHosts executes a plan for the hosts of a wave, and a second one at the
// end of the usable notice for streams that were expected to have finished by
// then.
func (r *Runner) drainHosts(ctx context.Context, wave []notice) {
	firstReclaim := wave[0].reclaimAt
	for _, n := range wave {
		if n.reclaimAt.Before(firstReclaim) {
			firstReclaim = n.reclaimAt
		}
	}
	began := time.Now()
	r.executePlan(ctx, wave, firstReclaim.Sub(began))
	usableNotice := time.Duration(usableFraction * float64(firstReclaim.Sub(began)))
	if !ctxtime.Sleep(ctx, time.Until(began.Add(usableNotice))) {
		return
	}
	r.executePlan(ctx, wave, 0)
}

// executePlan makes a plan for the streams that are on the hosts of a wave now,
// and moves each stream at its planned time.
func (r *Runner) executePlan(ctx context.Context, wave []notice, remaining time.Duration) {
	var streams []Stream
	for _, n := range wave {
		streams = append(streams, r.opts.Carrier.Streams(n.hostID)...)
	}
	if len(streams) == 0 {
		return
	}
	hosts := make(map[string]string, len(streams))
	for _, s := range streams {
		hosts[s.ID] = s.HostID
	}
	for _, d := range Plan(time.Now(), remaining, streams, r.opts.Targets(streams)) {
		if d.Action == ActionFinish {
			r.log(hosts[d.StreamID], &d)
			continue
		}
		if !ctxtime.Sleep(ctx, time.Until(d.Start)) {
			return
		}
		if r.opts.Carrier.Move(hosts[d.StreamID], d) {
			r.log(hosts[d.StreamID], &d)
		}
	}
}

func (r *Runner) log(hostID string, d *Decision) {
	if !r.opts.Log.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	r.opts.Log.WithFields(logrus.Fields{
		"request":    d.StreamID,
		"host":       hostID,
		"action":     string(d.Action),
		"endpoint":   d.Target,
		"recomputed": d.Recomputed,
		"reason":     d.Reason,
	}).Info("reclaim: decision for stream on draining host.")
}
