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
	// MaxPollsPerSecond bounds the polls of all entries together, of the
	// cloud API and of the host list each.
	MaxPollsPerSecond = 20

	minPollPeriod = time.Second
	pollTimeout   = 2 * time.Second
	// pollJitter is the part of a period by which it varies at random.
	pollJitter = 0.2
)

// PollPeriod returns the time between two polls of one entry. Because the
// polls of the entries are spread over the period, and what one of them finds
// travels to the others at once, a notice is found within about a second
// whatever the number of entries.
func PollPeriod(entries int) time.Duration {
	spread := time.Duration(float64(entries) / MaxPollsPerSecond * float64(time.Second))
	return max(minPollPeriod, spread)
}

// Watch feeds a Set from the cloud API and the host list.
type Watch struct {
	Set   *Set
	Cloud infra.Cloud
	List  infra.HostList
	// Entries returns the number of entries that poll.
	Entries func() int
	// OnHosts gets each host list that was read; may be nil.
	OnHosts func([]infra.Host)
	Log     *logrus.Entry
}

// Run polls until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.every(ctx, "host list", w.readHosts) })
	after := uint64(0)
	g.Go(func() error {
		return w.every(ctx, "cloud API", func(ctx context.Context) error {
			next, err := w.readNotices(ctx, after)
			after = next
			return err
		})
	})
	return g.Wait()
}

// every calls poll with the period until ctx ends.
func (w *Watch) every(ctx context.Context, what string, poll func(context.Context) error) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		err := poll(callCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			w.Log.WithError(err).WithField("source", what).Warn("drain: poll failed.")
		}
		period := float64(PollPeriod(w.Entries()))
		if !ctxtime.Sleep(ctx, time.Duration(period*(1-pollJitter*rand.Float64()))) {
			return nil
		}
	}
}

func (w *Watch) readHosts(ctx context.Context) error {
	hosts, err := w.List.Hosts(ctx)
	if err != nil {
		return err
	}
	w.Set.Hosts(hosts)
	if w.OnHosts != nil {
		w.OnHosts(hosts)
	}
	return nil
}

// readNotices takes in the notices after a sequence number and returns the
// last one read.
func (w *Watch) readNotices(ctx context.Context, after uint64) (uint64, error) {
	found, err := w.Cloud.Notices(ctx, after)
	if err != nil {
		return after, err
	}
	for _, n := range found {
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
