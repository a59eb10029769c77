package drain

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	// MaxPollsPerSecond bounds the rate at which all entries together poll the
	// cloud API, and separately the host list.
	MaxPollsPerSecond = 20

	minPollPeriod = time.Second
	pollTimeout   = 2 * time.Second
	// pollJitterFraction is the largest fraction of a period by which it is
	// randomly shortened.
	pollJitterFraction = 0.2
)

// PollPeriod returns the time between two polls by one entry. The polls of all
// entries are distributed over the period, and the first entry that finds a
// notice sends it to the others at once. A notice is therefore found within
// about a second, whatever the number of entries.
func PollPeriod(entries int) time.Duration {
	period := time.Duration(float64(entries) / MaxPollsPerSecond * float64(time.Second))
	return max(minPollPeriod, period)
}

// Watch polls the cloud API and the host list and updates a Set with what they
// return.
type Watch struct {
	Set   *Set
	Cloud infra.Cloud
	List  infra.HostList
	// Entries returns the number of entries that poll.
	Entries func() int
	// OnHosts is called with each host list that was read; it may be nil.
	OnHosts func([]infra.Host)
	Log     *logrus.Entry
}

// Run polls both sources concurrently until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.runPolls(ctx, "host list", w.pollHosts) })
	after := uint64(0)
	g.Go(func() error {
		return w.runPolls(ctx, "cloud API", func(ctx context.Context) error {
			next, err := w.pollNotices(ctx, after)
			after = next
			return err
		})
	})
	return g.Wait()
}

// runPolls calls poll once per period until ctx ends, and logs failures.
func (w *Watch) runPolls(ctx context.Context, source string, poll func(context.Context) error) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		err := poll(callCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			w.Log.WithError(err).WithField("source", source).Warn("drain: poll failed.")
		}
		period := float64(PollPeriod(w.Entries()))
		if !ctxtime.Sleep(ctx, time.Duration(period*(1-pollJitterFraction*rand.Float64()))) {
			return nil
		}
	}
}

func (w *Watch) pollHosts(ctx context.Context) error {
	hosts, err := w.List.Hosts(ctx)
	if err != nil {
		return err
	}
	w.Set.UpdateHosts(hosts)
	if w.OnHosts != nil {
		w.OnHosts(hosts)
	}
	return nil
}

// pollNotices adds the notices after a sequence number and returns the sequence
// number of the last one read.
func (w *Watch) pollNotices(ctx context.Context, after uint64) (uint64, error) {
	notices, err := w.Cloud.Notices(ctx, after)
	if err != nil {
		return after, err
	}
	for _, n := range notices {
		w.Set.Add(Notice{
			HostID:        n.HostID,
			Incarnation:   n.Incarnation,
			FailureDomain: w.Set.domainOf(n.HostID),
			Reason:        ReasonReclaim,
			Remaining:     n.Remaining,
		})
		after = max(after, n.Seq)
	}
	return after, nil
}
