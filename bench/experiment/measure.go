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
	// latencySamples is the number of calls with which the latency added by
	// an entry is measured.
	latencySamples = 200
	// idlePeriod is the time for which the idle deployment is measured.
	idlePeriod = 2 * time.Second
	// newWorkPollPeriod is the interval at which the attempts on a draining
	// host are read.
	newWorkPollPeriod = 50 * time.Millisecond
)

// snapshot is the state of all counters at one time.
type snapshot struct {
	at        time.Time
	records   standin.Records
	table     infrastandin.TableCounts
	peerBytes uint64
	cpu       time.Duration
	// invariants counts all violated invariants so far, and reverts those
	// in which a template returned to an older version.
	invariants, reverts uint64
}

func (r *run) snapshot() snapshot {
	s := snapshot{
		at:      time.Now(),
		records: r.deployment.Standins.Records(),
		table:   r.deployment.Standins.Platform.Table.Counts(),
		cpu:     cputime.Used(),
	}
	for i := range r.deployment.EntryCount() {
		if e := r.deployment.Entry(i); e != nil {
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

// idleUsage is the resource usage per entry without load.
type idleUsage struct {
	corePercent float64
	peerBytes   float64
}

// measureIdle measures the deployment before the load begins. The processor
// time includes that of the stand-ins.
func (r *run) measureIdle() idleUsage {
	before := r.snapshot()
	time.Sleep(idlePeriod)
	after := r.snapshot()
	seconds := after.at.Sub(before.at).Seconds()
	n := float64(r.deployment.EntryCount())
	return idleUsage{
		corePercent: 100 * (after.cpu - before.cpu).Seconds() / seconds / n,
		peerBytes:   float64(after.peerBytes-before.peerBytes) / seconds / n,
	}
}

// watchNewWork records when the hosts of a failure domain last got new work
// after their disruption notice.
func (r *run) watchNewWork(domain string) {
	began := time.Now()
	engines := r.deployment.Standins.EnginesOf(domain)
	last := make([]int64, len(engines))
	for i, e := range engines {
		last[i] = e.Totals().Attempts
	}
	latest := time.Duration(0)
	for time.Since(began) < noticePeriod-newWorkPollPeriod {
		time.Sleep(newWorkPollPeriod)
		for i, e := range engines {
			if n := e.Totals().Attempts; n != last[i] {
				last[i] = n
				latest = time.Since(began)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newWorkTimes = append(r.newWorkTimes, latest)
}

// measureConvergence records the time until all entries have applied a template
// version.
func (r *run) measureConvergence(version uint64) {
	began := time.Now()
	for i := range r.deployment.EntryCount() {
		for e := r.deployment.Entry(i); e != nil && e.TemplateVersion() < version; e = r.deployment.Entry(i) {
			time.Sleep(pollPeriod)
			if time.Since(began) > clientTimeout {
				r.addFailure("entry %d did not apply template version %d within the client timeout", i, version)
				return
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.convergenceTimes = append(r.convergenceTimes, time.Since(began))
}

// callTimes holds the durations of calls sent directly to a service and of
// calls sent through an entry.
type callTimes struct {
	direct, viaEntry *timings
}

// measureAddedLatency calls a plain service directly and through an entry,
// alternately.
func (r *run) measureAddedLatency(ctx context.Context) (callTimes, error) {
	a := callTimes{direct: newTimings(), viaEntry: newTimings()}
	var q struct{ service, path, kind string }
	for _, class := range r.mix.Classes {
		if class.Call != nil && !class.Call.AtMostOnce {
			q.service, q.path, q.kind = class.Call.Service, class.Call.Path, class.Kind
		}
	}
	address, err := r.serviceAddress(q.service)
	if err != nil {
		return a, err
	}
	entryURL := fmt.Sprintf("http://%s/services/%s%s", r.deployment.Settings(0).Listen.Caller, q.service, q.path)
	for range latencySamples {
		if err := timeCall(ctx, a.direct, "http://"+address+q.path, ""); err != nil {
			return a, fmt.Errorf("direct call: %w", err)
		}
		if err := timeCall(ctx, a.viaEntry, entryURL, r.mix.Customers[0].Key); err != nil {
			return a, fmt.Errorf("call through entry: %w", err)
		}
	}
	return a, nil
}

func (r *run) serviceAddress(name string) (string, error) {
	for _, h := range r.deployment.Standins.Hosts() {
		for _, e := range h.Endpoints {
			if e.Kind == infra.KindService && e.Name == name {
				return e.Addr, nil
			}
		}
	}
	return "", fmt.Errorf("no host has service %q", name)
}

func timeCall(ctx context.Context, durations *timings, url, key string) error {
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
	durations.add(time.Since(began))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
