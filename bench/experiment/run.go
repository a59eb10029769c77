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
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 20 * time.Second
	// clientTimeout bounds the time a client spends on one request.
	clientTimeout = 90 * time.Second
	healthPeriod  = 250 * time.Millisecond
	pollPeriod    = 20 * time.Millisecond
)

// run is the state of one run.
type run struct {
	config      Config
	template    *template.Template
	mix         workload.Mix
	domains     []string
	deployment  *inprocess.Deployment
	clients     *caller.Clients
	history     history.History
	entryKilled atomic.Bool

	mu sync.Mutex
	// failures describes violations that the records of requests don't
	// show. convergenceTimes are the times until all entries had applied an
	// approved template version. newWorkTimes are the times from a
	// disruption notice to the last new request on a draining host.
	failures         []string
	convergenceTimes []time.Duration
	newWorkTimes     []time.Duration
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
	defer r.deployment.Close(context.WithoutCancel(ctx))
	defer r.clients.Close()
	times, err := r.measureAddedLatency(ctx)
	if err != nil {
		return Report{}, err
	}
	idle := r.measureIdle()
	before := r.snapshot()
	r.runLoad(ctx)
	after := r.snapshot()
	report := r.report(before, after)
	report.setIdleUsage(idle)
	report.setAddedLatency(times)
	return report, nil
}

// start starts the deployment and waits until all entries are ready.
func (r *run) start(ctx context.Context) error {
	options, err := r.options()
	if err != nil {
		return err
	}
	r.deployment, err = inprocess.Start(ctx, options)
	if err != nil {
		return err
	}
	clientOptions := caller.Options{
		Dial:         app.TCP().Dial,
		Timeout:      clientTimeout,
		HealthPeriod: healthPeriod,
		Versions:     r.versions(),
	}
	for _, s := range options.Entries {
		clientOptions.Entries = append(clientOptions.Entries, s.Listen.Caller)
		clientOptions.Operators = append(clientOptions.Operators, s.Listen.Operator)
	}
	r.clients = caller.New(clientOptions)
	return r.waitReady(ctx, clientOptions.Operators)
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
	if r.mix, err = workload.ForTemplate(r.template); err != nil {
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

// makeOnDemand replaces reclaimable hosts by the on-demand class of their
// failure domain, and removes the offers of reclaimable hosts.
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
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range operators {
		for !isReady(address) {
			if ctx.Err() != nil {
				return fmt.Errorf("entry at %s is not ready", address)
			}
			time.Sleep(pollPeriod)
		}
	}
	// The entries discover each other by their next scans of the registry.
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

// runLoad sends the requests while it injects the faults of the schedule, and
// returns once all requests and faults have ended.
func (r *run) runLoad(ctx context.Context) {
	healthCtx, stopHealthChecks := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { r.clients.RunHealthChecks(healthCtx) })
	for _, s := range r.config.Schedule.steps() {
		background.Go(func() {
			time.Sleep(time.Duration(s.at * float64(r.config.Duration)))
			s.do(r)
		})
	}
	r.sendRequests(ctx)
	stopHealthChecks()
	background.Wait()
}

func (r *run) sendRequests(ctx context.Context) {
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
		requests.Go(func() { r.history.Add(r.clients.Do(ctx, q)) })
	}
	requests.Wait()
}

// addFailure records an event that violates a guarantee.
func (r *run) addFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}
