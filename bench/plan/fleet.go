package plan

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// customers is the number of customers of the measured deployment.
const customers = 5

// fleet holds the entries of a measurement and the table that they share.
type fleet struct {
	cfg          Config
	ctx          context.Context
	table        *standin.Table
	countedTable *countingTable
	store        *template.Store
	entries      []*entry
	log          *logrus.Entry
	rng          *rand.Rand
	// retiredTraffic is the traffic that restarted entries had before their
	// restart.
	retiredTraffic  peer.Traffic
	templateVersion uint64
}

func newFleet(ctx context.Context, cfg Config, members int) *fleet {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	discardLog.SetLevel(logrus.ErrorLevel)
	f := &fleet{
		cfg:   cfg,
		ctx:   ctx,
		table: standin.NewTable(cfg.Seed),
		log:   logrus.NewEntry(discardLog),
		rng:   rand.New(rand.NewPCG(cfg.Seed, uint64(members))),
	}
	f.countedTable = newCountingTable(f.table)
	f.store = template.NewStore(f.table, template.StoreOptions{})
	for i := range members {
		domain := i % plannedDomains
		f.entries = append(f.entries, &entry{
			id:     fmt.Sprintf("entry-%03d", i),
			domain: fmt.Sprintf("domain-%02d", domain),
			region: fmt.Sprintf("region-%d", domain%plannedRegions),
			listen: func() (net.Listener, error) { return cfg.Listen(i) },
			dial:   cfg.Dial(i),
		})
	}
	return f
}

// boot starts all entries at once and waits until each has all others in its
// list of live members and has a template.
func (f *fleet) boot() error {
	if err := f.publishTemplate(); err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := e.start(f.ctx, f.countedTable, f.log); err != nil {
			return err
		}
	}
	return f.waitForAll("membership", bootTimeout, func(e *entry) bool {
		return len(e.registry.Live()) == len(f.entries) && e.watcher.Ready()
	})
}

func (f *fleet) stop() {
	for _, e := range f.entries {
		if e.cancel != nil {
			e.cancel()
		}
	}
	for _, e := range f.entries {
		e.running.Wait()
	}
	f.table.Close()
}

// waitForAll returns once ok holds for all entries.
func (f *fleet) waitForAll(what string, timeout time.Duration, ok func(e *entry) bool) error {
	start := time.Now()
	pending := append([]*entry(nil), f.entries...)
	for {
		stillPending := pending[:0]
		for _, e := range pending {
			if !ok(e) {
				stillPending = append(stillPending, e)
			}
		}
		pending = stillPending
		if len(pending) == 0 {
			return nil
		}
		if time.Since(start) > timeout {
			return fmt.Errorf("%s: %d of %d entries did not finish within %v", what, len(pending), len(f.entries), timeout)
		}
		if err := f.sleep(probePeriod); err != nil {
			return err
		}
	}
}

func (f *fleet) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
}

// publishTemplate publishes a new template version in the table.
func (f *fleet) publishTemplate() error {
	version, err := f.store.Publish(f.ctx, f.templateVersion, "bench", newTemplate(f.templateVersion))
	if err != nil {
		return fmt.Errorf("publish template: %w", err)
	}
	f.templateVersion = version
	return nil
}

// publishEntryStates publishes a new random demand from each entry.
func (f *fleet) publishEntryStates() {
	for _, e := range f.entries {
		demand := make(map[string]peer.Demand, customers)
		for i := range customers {
			demand[customerName(i)] = peer.Demand{
				TokensPerSecond: 2000 * f.rng.Float64(),
				SpendPerHour:    20 * f.rng.Float64(),
			}
		}
		e.mesh.Publish(peer.EntryState{Demand: demand, InFlight: f.rng.IntN(200)})
	}
}

// traffic returns what all entries have sent and received so far.
func (f *fleet) traffic() peer.Traffic {
	sum := f.retiredTraffic
	for _, e := range f.entries {
		sum = addTraffic(sum, e.mesh.Traffic())
	}
	return sum
}

func addTraffic(a, b peer.Traffic) peer.Traffic {
	return peer.Traffic{
		SentBytes:        a.SentBytes + b.SentBytes,
		ReceivedBytes:    a.ReceivedBytes + b.ReceivedBytes,
		SentMessages:     a.SentMessages + b.SentMessages,
		ReceivedMessages: a.ReceivedMessages + b.ReceivedMessages,
	}
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

// newTemplate returns a valid template that differs from the previous version.
func newTemplate(base uint64) *template.Template {
	t := &template.Template{
		Name:    deployment,
		Weights: template.Weights{Cost: 1, Recomputed: 1},
		Models:  []template.Model{{Name: "lm", Version: "1", MinReplicas: 1, MaxReplicas: PlannedReplicas}},
		Kinds: []template.Kind{{
			Name:      "question",
			Urgency:   template.UrgencyUrgent,
			Deadline:  template.Duration(460 * time.Millisecond),
			Delivery:  template.DeliveryAttached,
			Model:     "lm",
			MaxTokens: 400,
		}},
	}
	for i := range customers {
		t.Customers = append(t.Customers, template.Customer{
			Name:            customerName(i),
			KeySHA256:       strings.Repeat(fmt.Sprint(i), 64),
			Share:           1,
			TokensPerSecond: 1e6 + float64(base),
			BurstTokens:     1e6,
		})
	}
	return t
}
