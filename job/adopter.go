package job

import (
	"context"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Defaults of AdopterOptions.
const (
	defaultScanInterval    = 2 * time.Second
	defaultClaimsPerSecond = 100
	defaultParallelClaims  = 64
)

// Members tells which entries live.
type Members interface {
	// Live returns the IDs of the live entries.
	Live() []string
	// Alive says whether one incarnation of an entry may still run.
	Alive(id, incarnation string) bool
}

// AdopterOptions are the settings of an Adopter. Zero values take defaults.
type AdopterOptions struct {
	Members Members
	// Resume goes on with an adopted request, and finishes it. It is called
	// in a goroutine of its own. When it returns an error the request is
	// resumed again after a while.
	Resume func(ctx context.Context, r Record) error
	// ScanInterval is the time between two looks for dead owners.
	ScanInterval time.Duration
	// ClaimsPerSecond paces adoption, and Parallel bounds the claims that
	// share a commit.
	ClaimsPerSecond float64
	Parallel        int
	Log             *logrus.Entry
}

func (o AdopterOptions) withDefaults() AdopterOptions {
	setDefault(&o.ScanInterval, defaultScanInterval)
	setDefault(&o.Parallel, defaultParallelClaims)
	if o.ClaimsPerSecond <= 0 {
		o.ClaimsPerSecond = defaultClaimsPerSecond
	}
	o.Log = nolog.Or(o.Log)
	return o
}

// Adopter claims the requests of dead owners and lets them go on. A
// rendezvous hash over the live members says who claims which; the next in
// rank does after a while where the first did not.
type Adopter struct {
	store *Store
	opt   AdopterOptions
	log   *logrus.Entry
	pace  *rate.Limiter

	resumes sync.WaitGroup
	// since is when an unclaimed request was first seen without its owner,
	// by its jobown row; used by Run alone.
	since map[string]time.Time
}

// NewAdopter returns an Adopter for the store's process.
func NewAdopter(store *Store, options AdopterOptions) *Adopter {
	options = options.withDefaults()
	return &Adopter{
		store: store,
		opt:   options,
		log:   options.Log,
		pace:  rate.NewLimiter(rate.Limit(options.ClaimsPerSecond), options.Parallel),
		since: make(map[string]time.Time),
	}
}

// Run adopts until ctx ends, and returns when all resumed requests have
// ended.
func (a *Adopter) Run(ctx context.Context) {
	defer a.resumes.Wait()
	for {
		a.resumeOrphans(ctx)
		if err := a.scan(ctx); err != nil {
			a.log.WithError(err).Debug("adopt: scan failed.")
		}
		// Spread the scans of all entries.
		interval := a.opt.ScanInterval
		if !ctxtime.Sleep(ctx, interval/2+rand.N(interval)) {
			return
		}
	}
}

// resumeOrphans goes on with requests that are this process's own but have
// nobody who runs them.
func (a *Adopter) resumeOrphans(ctx context.Context) {
	for _, r := range a.store.takeOrphans() {
		filled, err := a.store.fill(ctx, r)
		if err != nil {
			a.store.orphan(r)
			continue
		}
		a.resume(ctx, filled)
	}
}

// scan looks at the marks of all processes for dead ones.
func (a *Adopter) scan(ctx context.Context) error {
	rows, err := a.store.scan(ctx, markPrefix)
	if err != nil {
		return err
	}
	seen := make(map[string]time.Time)
	for _, row := range rows {
		owner, incarnation, ok := splitMark(row.Key)
		if !ok || a.own(owner, incarnation) || a.opt.Members.Alive(owner, incarnation) {
			continue
		}
		if err := a.adopt(ctx, owner, incarnation, row, seen); err != nil {
			return err
		}
	}
	a.since = seen
	return nil
}

func (a *Adopter) own(owner, incarnation string) bool {
	return owner == a.store.opt.Owner && incarnation == a.store.opt.Incarnation
}

// adopt claims this process's part of what a dead owner left.
func (a *Adopter) adopt(ctx context.Context, owner, incarnation string, mark infra.Row, seen map[string]time.Time) error {
	rows, err := a.store.scan(ctx, key(ownPrefix, owner, incarnation)+"/")
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		a.bury(ctx, mark)
		return nil
	}
	live := a.live()
	var claims errgroup.Group
	claims.SetLimit(a.opt.Parallel)
	for _, row := range rows {
		first, ok := a.since[row.Key]
		if !ok {
			first = time.Now()
		}
		seen[row.Key] = first
		customer, id, ok := splitOwn(row.Key)
		if !ok || time.Since(first) < a.turn(live, id) {
			continue
		}
		if err := a.pace.Wait(ctx); err != nil {
			break
		}
		claims.Go(func() error {
			a.claim(ctx, customer, id, owner, incarnation)
			return nil
		})
	}
	return claims.Wait()
}

// claim takes one request over and resumes it.
func (a *Adopter) claim(ctx context.Context, customer, id, owner, incarnation string) {
	r, err := a.store.claimFrom(ctx, customer, id, func(r *Record) bool {
		return r.Owner == owner && r.OwnerIncarnation == incarnation
	})
	if err != nil {
		a.log.WithError(err).WithField("request", id).Debug("adopt: not claimed.")
		return
	}
	a.log.WithFields(logrus.Fields{
		"request": id, "owner": owner, "fence": r.Fence, "endpoint": r.Stream.EndpointID, "tokens": r.Checkpoint.Tokens,
	}).Info("adopt: request claimed.")
	a.resume(ctx, r)
}

// resume runs the request until it ends.
func (a *Adopter) resume(ctx context.Context, r Record) {
	a.resumes.Go(func() {
		err := a.opt.Resume(ctx, r)
		if err == nil || ctx.Err() != nil || verdict.CodeOf(err) == verdict.CodeFenced {
			return
		}
		a.log.WithError(err).WithField("request", r.ID).Warn("adopt: request not resumed yet.")
		if h, err := a.store.handle(r.ID); err == nil {
			r, _ = h.get()
			a.store.orphan(r)
		}
	})
}

// bury deletes the mark of a dead process that left nothing. It is conditional
// on the mark's version: where the process was only paused and accepts
// something after all, the mark has changed.
func (a *Adopter) bury(ctx context.Context, mark infra.Row) {
	ctx, cancel := context.WithTimeout(infra.WithPriority(ctx, infra.PriorityCheckpoint), a.store.opt.TableTimeout)
	defer cancel()
	gone := infra.Write{Key: mark.Key, Delete: true, Expect: mark.Version}
	if _, err := a.store.table.Commit(ctx, gone); err != nil {
		a.log.WithError(err).Debug("adopt: mark of a dead owner not deleted.")
	}
}

// live returns the live members, this one always among them.
func (a *Adopter) live() []string {
	live := a.opt.Members.Live()
	if self := a.store.opt.Owner; !slices.Contains(live, self) {
		live = append(slices.Clone(live), self)
	}
	return live
}

// turn is how long after it was first seen this process claims a request: the
// member with the highest hash at once, each next one a while later.
func (a *Adopter) turn(live []string, id string) time.Duration {
	mine := weight(a.store.opt.Owner, id)
	rank := 0
	for _, member := range live {
		if weight(member, id) > mine {
			rank++
		}
	}
	return time.Duration(rank) * 2 * a.opt.ScanInterval
}

func weight(member, id string) uint64 { return xxhash.Sum64String(member + "/" + id) }

func splitMark(row string) (owner, incarnation string, ok bool) {
	parts, ok := split(row, markPrefix, 2)
	if !ok {
		return "", "", false
	}
	return parts[0], parts[1], true
}

func splitOwn(row string) (customer, id string, ok bool) {
	parts, ok := split(row, ownPrefix, 4)
	if !ok {
		return "", "", false
	}
	return parts[2], parts[3], true
}

// split undoes key.
func split(row, prefix string, n int) ([]string, bool) {
	parts := strings.Split(strings.TrimPrefix(row, prefix), "/")
	if len(parts) != n {
		return nil, false
	}
	for i, part := range parts {
		plain, err := url.PathUnescape(part)
		if err != nil {
			return nil, false
		}
		parts[i] = plain
	}
	return parts, true
}
