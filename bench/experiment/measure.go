package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	infrastandin "github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/cputime"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

const (
	// latencySamples is the number of calls that the time added by an entry is
	// measured with.
	latencySamples = 200
	// idlePeriod is how long the idle deployment is watched.
	idlePeriod = 2 * time.Second
	// newWorkStep is the step in which a leaving host is watched.
	newWorkStep = 50 * time.Millisecond
)

// snapshot is the state of all counters at one time.
type snapshot struct {
	at        time.Time
	records   standin.Records
	table     infrastandin.TableCounts
	peerBytes uint64
	cpu       time.Duration
	// invariants are all that broke so far, reverts those in which a template
	// went back to an older version.
	invariants, reverts uint64
}

func (r *run) snapshot() snapshot {
	s := snapshot{
		at:      time.Now(),
		records: r.deploy.Standins.Records(),
		table:   r.deploy.Standins.Platform.Table.Counts(),
		cpu:     cputime.Used(),
	}
	for i := range r.deploy.Entries() {
		if e := r.deploy.Entry(i); e != nil {
			s.peerBytes += e.Traffic().SentBytes
		}
	}
	for name, n := range invariant.Counts() {
		s.invariants += n
		if name == invariant.TemplateMonotonic {
			s.reverts = n
		}
	}
	return s
}

// idle is what the deployment takes without requests, for one entry.
type idle struct {
	corePercent float64
	peerBytes   float64
}

// idleLoad watches the deployment before the load begins. The processor time
// includes the stand-ins' part.
func (r *run) idleLoad() idle {
	before := r.snapshot()
	time.Sleep(idlePeriod)
	after := r.snapshot()
	seconds := after.at.Sub(before.at).Seconds()
	n := float64(r.deploy.Entries())
	return idle{
		corePercent: 100 * (after.cpu - before.cpu).Seconds() / seconds / n,
		peerBytes:   float64(after.peerBytes-before.peerBytes) / seconds / n,
	}
}

// watchNewWork notes when the hosts of a failure domain that was just
// announced got their last new work.
func (r *run) watchNewWork(domain string) {
	began := time.Now()
	engines := r.deploy.Standins.EnginesOf(domain)
	last := make([]int64, len(engines))
	for i, e := range engines {
		last[i] = e.Totals().Attempts
	}
	latest := time.Duration(0)
	for time.Since(began) < notice-newWorkStep {
		time.Sleep(newWorkStep)
		for i, e := range engines {
			if n := e.Totals().Attempts; n != last[i] {
				last[i] = n
				latest = time.Since(began)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newWork = append(r.newWork, latest)
}

// converge notes how long a version takes to be in force on all entries.
func (r *run) converge(version uint64) {
	began := time.Now()
	for i := range r.deploy.Entries() {
		for e := r.deploy.Entry(i); e != nil && e.TemplateVersion() < version; e = r.deploy.Entry(i) {
			time.Sleep(pollPeriod)
			if time.Since(began) > patience {
				r.fail("entry %d never took template version %d", i, version)
				return
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.converged = append(r.converged, time.Since(began))
}

// added holds the times of calls with and without an entry in between.
type added struct {
	direct, entry *timings
}

// addedLatency calls a plain service directly and through an entry in turn.
func (r *run) addedLatency(ctx context.Context) (added, error) {
	a := added{direct: newTimings(), entry: newTimings()}
	var q struct{ service, path, kind string }
	for _, class := range r.mix.Classes {
		if class.Call != nil && !class.Call.Once {
			q.service, q.path, q.kind = class.Call.Service, class.Call.Path, class.Kind
		}
	}
	address, err := r.serviceAddress(q.service)
	if err != nil {
		return a, err
	}
	through := fmt.Sprintf("http://%s/services/%s%s", r.deploy.Settings(0).Listen.Caller, q.service, q.path)
	for range latencySamples {
		if err := timed(ctx, a.direct, "http://"+address+q.path, ""); err != nil {
			return a, fmt.Errorf("direct call: %w", err)
		}
		if err := timed(ctx, a.entry, through, r.mix.Customers[0].Key); err != nil {
			return a, fmt.Errorf("call through entry: %w", err)
		}
	}
	return a, nil
}

func (r *run) serviceAddress(name string) (string, error) {
	for _, h := range r.deploy.Standins.Hosts() {
		for _, e := range h.Endpoints {
			if e.Kind == infra.KindService && e.Name == name {
				return e.Addr, nil
			}
		}
	}
	return "", fmt.Errorf("no host has service %q", name)
}

func timed(ctx context.Context, to *timings, url, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	to.add(time.Since(began))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
