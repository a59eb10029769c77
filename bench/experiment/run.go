package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/bench/caller"
	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/bench/inprocess"
	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	"github.com/coltsfootcleat/coltsfootcleat/deployments"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	// readyLimit bounds the start of a deployment.
	readyLimit = 20 * time.Second
	// patience is how long a caller tries.
	patience     = 90 * time.Second
	healthPeriod = 250 * time.Millisecond
	pollPeriod   = 20 * time.Millisecond
)

// run is one run.
type run struct {
	config   Config
	template *template.Template
	mix      workload.Mix
	domains  []string
	deploy   *inprocess.Deployment
	callers  *caller.Clients
	history  history.History
	killed   atomic.Bool

	mu sync.Mutex
	// faults are what must not have happened, converged the times until an
	// approved version was in force on all entries, newWork the times after a
	// notice at which a leaving host got its last new work.
	faults    []string
	converged []time.Duration
	newWork   []time.Duration
}

// Run runs one experiment and returns its report.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.validate(); err != nil {
		return Report{}, err
	}
	r := &run{config: c}
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	defer r.deploy.Close(context.WithoutCancel(ctx))
	defer r.callers.Close()
	added, err := r.addedLatency(ctx)
	if err != nil {
		return Report{}, err
	}
	idle := r.idleLoad()
	before := r.snapshot()
	r.play(ctx)
	after := r.snapshot()
	report := r.report(before, after)
	report.setIdle(idle)
	report.setAdded(added)
	return report, nil
}

// start starts the deployment and waits until all entries are ready.
func (r *run) start(ctx context.Context) error {
	options, err := r.options()
	if err != nil {
		return err
	}
	r.deploy, err = inprocess.Start(ctx, options)
	if err != nil {
		return err
	}
	callers := caller.Options{
		Dial:         app.TCP().Dial,
		Timeout:      patience,
		HealthPeriod: healthPeriod,
		Versions:     r.versions(),
	}
	for _, s := range options.Entries {
		callers.Entries = append(callers.Entries, s.Listen.Caller)
		callers.Operators = append(callers.Operators, s.Listen.Operator)
	}
	r.callers = caller.New(callers)
	return r.waitReady(ctx, callers.Operators)
}

func (r *run) versions() []string {
	var out []string
	for _, m := range r.template.Models {
		out = append(out, m.Version)
	}
	return out
}

func (r *run) options() (inprocess.Options, error) {
	c := r.config
	data, err := deployments.File(c.Deployment, "template.toml", c.Network)
	if err != nil {
		return inprocess.Options{}, err
	}
	if r.template, err = template.Parse("template.toml", data); err != nil {
		return inprocess.Options{}, err
	}
	if r.mix, err = workload.Of(r.template); err != nil {
		return inprocess.Options{}, err
	}
	standins, err := r.standins()
	if err != nil {
		return inprocess.Options{}, err
	}
	entries, err := r.entries()
	if err != nil {
		return inprocess.Options{}, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.WarnLevel)
	if c.Log != nil {
		log.SetOutput(c.Log)
		log.SetLevel(logrus.InfoLevel)
	}
	return inprocess.Options{
		Standins:   standins,
		Template:   r.template,
		Entries:    entries,
		Network:    func(string) app.Network { return app.TCP() },
		Log:        log,
		Experiment: c.Policy.experiment(),
	}, nil
}

func (r *run) standins() (standin.Settings, error) {
	data, err := deployments.File(r.config.Deployment, "standin.toml", r.config.Network)
	if err != nil {
		return standin.Settings{}, err
	}
	s, err := standin.ParseSettings("standin.toml", data)
	if err != nil {
		return s, err
	}
	s.Seed = r.config.Seed
	for _, d := range s.FailureDomains {
		r.domains = append(r.domains, d.Name)
	}
	if r.config.Policy == PolicyOnDemandOnly {
		makeOnDemand(s)
	}
	return s, nil
}

// makeOnDemand replaces reclaimable hosts by the failure domain's on-demand
// class, and leaves no others on offer.
func makeOnDemand(s standin.Settings) {
	for n := range s.FailureDomains {
		d := &s.FailureDomains[n]
		d.Offers = slices.DeleteFunc(d.Offers, func(o standin.Offer) bool { return o.Reclaimable })
		for i := range d.Hosts {
			g := &d.Hosts[i]
			if !g.Reclaimable {
				continue
			}
			for _, o := range d.Offers {
				if !o.Reclaimable {
					g.Class, g.PricePerHour, g.Reclaimable = o.Class, o.PricePerHour, false
				}
			}
		}
	}
}

func (r *run) entries() ([]settings.Entry, error) {
	names, err := deployments.EntryFiles(r.config.Deployment)
	if err != nil {
		return nil, err
	}
	var out []settings.Entry
	for _, name := range names {
		data, err := deployments.File(r.config.Deployment, name, r.config.Network)
		if err != nil {
			return nil, err
		}
		s, err := settings.Parse(name, data)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func (r *run) waitReady(ctx context.Context, operators []string) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, address := range operators {
		for !isReady(address) {
			if ctx.Err() != nil {
				return fmt.Errorf("entry at %s is not ready", address)
			}
			time.Sleep(pollPeriod)
		}
	}
	// The entries find each other with their next scans.
	time.Sleep(2 * time.Second)
	return nil
}

func isReady(address string) bool {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// play lets the requests arrive under the schedule's faults, and returns once
// every caller has ended.
func (r *run) play(ctx context.Context) {
	balance, stopBalance := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { r.callers.RunHealthChecks(balance) })
	for _, s := range r.config.Schedule.steps() {
		background.Go(func() {
			time.Sleep(time.Duration(s.at * float64(r.config.Duration)))
			s.do(r)
		})
	}
	r.arrive(ctx)
	stopBalance()
	background.Wait()
}

func (r *run) arrive(ctx context.Context) {
	load := workload.Arrivals(r.mix, r.config.Seed, r.config.Duration, r.config.Load)
	var requests sync.WaitGroup
	start := time.Now()
	for _, q := range load {
		time.Sleep(time.Until(start.Add(q.At)))
		if ctx.Err() != nil {
			break
		}
		if r.config.Progress != nil {
			r.config.Progress(q.At.Seconds() / r.config.Duration.Seconds())
		}
		requests.Go(func() { r.history.Add(r.callers.Do(ctx, q)) })
	}
	requests.Wait()
}

// fail notes something that must not happen.
func (r *run) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}
