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

// Members reports which entries are live.
type Members interface {
	// Live returns the IDs of the live entries.
	Live() []string
	// Alive reports whether an incarnation of an entry may still be running.
	Alive(id, incarnation string) bool
}

// AdopterOptions are the settings of an Adopter. Zero values take defaults.
type AdopterOptions struct {
	Members Members
	// Resume continues an adopted request until it is finished. It is called
	// in a separate goroutine. If it returns an error, the request is resumed
	// again with one of the next scans.
	Resume func(ctx context.Context, r Record) error
	// ScanInterval is the mean time between two scans for failed owners.
	ScanInterval time.Duration
	// ClaimsPerSecond limits the rate of claims, ParallelClaims the number that
	// run concurrently and may share a commit.
	ClaimsPerSecond float64
	ParallelClaims  int
	Log             *logrus.Entry
}

func (o AdopterOptions) withDefaults() AdopterOptions {
	setDefault(&o.ScanInterval, defaultScanInterval)
	setDefault(&o.ParallelClaims, defaultParallelClaims)
	if o.ClaimsPerSecond <= 0 {
		o.ClaimsPerSecond = defaultClaimsPerSecond
	}
	o.Log = nolog.Or(o.Log)
	return o
}

// Adopter claims the requests of failed owners and resumes them. Rendezvous
// hashing ranks the live members for each request: the first claims it at once,
// each further one after a delay if the request is still unclaimed.
type Adopter struct {
	store        *Store
	opt          AdopterOptions
	log          *logrus.Entry
	claimLimiter *rate.Limiter

	resumes sync.WaitGroup
	// firstSeen maps the jobown row of each unclaimed request of a failed owner
	// to the time at which it was first found. Only Run uses it.
	firstSeen map[string]time.Time
}

// NewAdopter returns an Adopter for the store's process.
func NewAdopter(store *Store, options AdopterOptions) *Adopter {
	options = options.withDefaults()
	return &Adopter{
		store:        store,
		opt:          options,
		log:          options.Log,
		claimLimiter: rate.NewLimiter(rate.Limit(options.ClaimsPerSecond), options.ParallelClaims),
		firstSeen:    make(map[string]time.Time),
	}
}

// Run adopts requests until ctx ends, and returns once all resumed requests
// have ended.
func (a *Adopter) Run(ctx context.Context) {
	defer a.resumes.Wait()
	for {
		a.resumeOrphans(ctx)
		if err := a.scan(ctx); err != nil {
			a.log.WithError(err).Debug("adopt: scan failed.")
		}
		// Jitter prevents the entries from scanning at the same time.
		interval := a.opt.ScanInterval
		if !ctxtime.Sleep(ctx, interval/2+rand.N(interval)) {
			return
		}
	}
}

// resumeOrphans resumes the requests that this process owns but does not run.
func (a *Adopter) resumeOrphans(ctx context.Context) {
	for _, r := range a.store.takeOrphans() {
		loaded, err := a.store.loadTexts(ctx, r)
		if err != nil {
			a.store.addOrphan(r)
			continue
		}
		a.resume(ctx, loaded)
	}
}

// scan reads the marks of all processes and adopts the requests of failed ones.
func (a *Adopter) scan(ctx context.Context) error {
	rows, err := a.store.scan(ctx, markPrefix)
	if err != nil {
		return err
	}
	seen := make(map[string]time.Time)
	for _, row := range rows {
		owner, incarnation, ok := parseMarkKey(row.Key)
		if !ok || a.isSelf(owner, incarnation) || a.opt.Members.Alive(owner, incarnation) {
			continue
		}
		if err := a.adopt(ctx, owner, incarnation, row, seen); err != nil {
			return err
		}
	}
	a.firstSeen = seen
	return nil
}

// isSelf reports whether the owner is this process.
func (a *Adopter) isSelf(owner, incarnation string) bool {
	return owner == a.store.opt.Owner && incarnation == a.store.opt.Incarnation
}

// adopt claims the requests of a failed owner whose claim delay has passed for
// this process. If the owner has no requests, it deletes the owner's mark. It
// adds to seen when each request was first found.
func (a *Adopter) adopt(ctx context.Context, owner, incarnation string, mark infra.Row, seen map[string]time.Time) error {
	rows, err := a.store.scan(ctx, key(ownerPrefix, owner, incarnation)+"/")
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		a.deleteMark(ctx, mark)
		return nil
	}
	live := a.liveMembers()
	var claims errgroup.Group
	claims.SetLimit(a.opt.ParallelClaims)
	for _, row := range rows {
		first, ok := a.firstSeen[row.Key]
		if !ok {
			first = time.Now()
		}
		seen[row.Key] = first
		customer, id, ok := parseOwnerKey(row.Key)
		if !ok || time.Since(first) < a.claimDelay(live, id) {
			continue
		}
		if err := a.claimLimiter.Wait(ctx); err != nil {
			break
		}
		claims.Go(func() error {
			a.claim(ctx, customer, id, owner, incarnation)
			return nil
		})
	}
	return claims.Wait()
}

// claim claims one request and resumes it.
func (a *Adopter) claim(ctx context.Context, customer, id, owner, incarnation string) {
	r, err := a.store.claimIf(ctx, customer, id, func(r *Record) bool {
		return r.Owner == owner && r.OwnerIncarnation == incarnation
	})
	if err != nil {
		a.log.WithError(err).WithField("request", id).Debug("adopt: request not claimed.")
		return
	}
	a.log.WithFields(logrus.Fields{
		"request": id, "owner": owner, "fence": r.Fence, "endpoint": r.Stream.EndpointID, "tokens": r.Checkpoint.Tokens,
	}).Info("adopt: request claimed.")
	a.resume(ctx, r)
}

// resume starts a goroutine that runs the request until it ends. If it fails,
// the request becomes an orphan, unless another process owns it now.
func (a *Adopter) resume(ctx context.Context, r Record) {
	a.resumes.Go(func() {
		err := a.opt.Resume(ctx, r)
		if err == nil || ctx.Err() != nil || verdict.CodeOf(err) == verdict.CodeFenced {
			return
		}
		a.log.WithError(err).WithField("request", r.ID).Warn("adopt: resume failed, retrying.")
		if owned, err := a.store.ownedByID(r.ID); err == nil {
			r, _ = owned.get()
			a.store.addOrphan(r)
		}
	})
}

// deleteMark deletes the mark of a failed process without unfinished requests.
// The delete is conditional on the mark's version: if the process was only
// paused and has accepted a request since, the mark has changed.
func (a *Adopter) deleteMark(ctx context.Context, mark infra.Row) {
	ctx, cancel := context.WithTimeout(infra.WithPriority(ctx, infra.PriorityCheckpoint), a.store.opt.TableTimeout)
	defer cancel()
	markDelete := infra.Write{Key: mark.Key, Delete: true, Expect: mark.Version}
	if _, err := a.store.table.Commit(ctx, markDelete); err != nil {
		a.log.WithError(err).Debug("adopt: mark of a failed owner not deleted.")
	}
}

// liveMembers returns the IDs of the live members, including this one.
func (a *Adopter) liveMembers() []string {
	live := a.opt.Members.Live()
	if self := a.store.opt.Owner; !slices.Contains(live, self) {
		live = append(slices.Clone(live), self)
	}
	return live
}

// claimDelay returns how long after a request was first seen this process may
// claim it. It is 0 for the member with the highest hash and grows by two scan
// intervals with each rank.
func (a *Adopter) claimDelay(live []string, id string) time.Duration {
	own := weight(a.store.opt.Owner, id)
	rank := 0
	for _, member := range live {
		if weight(member, id) > own {
			rank++
		}
	}
	return time.Duration(rank) * 2 * a.opt.ScanInterval
}

func weight(member, id string) uint64 { return xxhash.Sum64String(member + "/" + id) }

// parseMarkKey returns the parts of a jobmark key.
func parseMarkKey(row string) (owner, incarnation string, ok bool) {
	parts, ok := splitKey(row, markPrefix, 2)
	if !ok {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// parseOwnerKey returns the customer and request ID of a jobown key.
func parseOwnerKey(row string) (customer, id string, ok bool) {
	parts, ok := splitKey(row, ownerPrefix, 4)
	if !ok {
		return "", "", false
	}
	return parts[2], parts[3], true
}

// splitKey returns the n unescaped parts of a row key. It is the inverse of
// key.
func splitKey(row, prefix string, n int) ([]string, bool) {
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
