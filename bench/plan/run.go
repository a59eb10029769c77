package plan

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/cputime"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// Run measures with each number of members and returns the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Members) == 0 || cfg.Seconds <= 0 {
		return Report{}, errors.New("plan: members and seconds must be given")
	}
	if cfg.Replicas <= 0 {
		cfg.Replicas = PlannedReplicas
	}
	if cfg.Listen == nil || cfg.Dial == nil {
		cfg.Listen, cfg.Dial = listenLoopback, dialTCP
	}
	report := Report{Replicas: cfg.Replicas, Seconds: cfg.Seconds, Seed: cfg.Seed}
	for _, members := range cfg.Members {
		point, err := measure(ctx, cfg, members)
		if err != nil {
			return report, fmt.Errorf("plan with %d members: %w", members, err)
		}
		report.Points = append(report.Points, point)
		if cfg.Log != nil {
			cfg.Log.WithField("members", members).Info("plan: measured.")
		}
	}
	report.fit()
	return report, nil
}

// measure runs all steps with one number of members.
func measure(ctx context.Context, cfg Config, members int) (Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memoryInUse()
	f := newFleet(ctx, cfg, members)
	defer f.stop()
	p := Point{Members: members}
	steps := []struct {
		name string
		run  func(p *Point) error
	}{
		{"boot", f.measureBoot},
		{"calm", func(p *Point) error { return f.measureCalm(p, before) }},
		{"notices", f.measureNotices},
		{"template", f.measureTemplate},
		{"domain notices", f.measureDomainNotices},
		{"restart", f.measureRestart},
		{"outage", f.measureOutage},
	}
	for _, step := range steps {
		start := time.Now()
		if err := step.run(&p); err != nil {
			return p, fmt.Errorf("%s: %w", step.name, err)
		}
		if cfg.Log != nil {
			cfg.Log.WithFields(logrus.Fields{
				"members": members,
				"step":    step.name,
				"seconds": time.Since(start).Seconds(),
			}).Info("plan: step done.")
		}
	}
	return p, nil
}

func (f *fleet) measureBoot(p *Point) error {
	start := time.Now()
	if err := f.boot(); err != nil {
		return err
	}
	p.BootSeconds = time.Since(start).Seconds()
	_, peak := f.countedTable.since(start)
	p.BootPeakReads, p.BootPeakWrites, p.BootPeakRows = peak.Reads, peak.Writes, peak.Rows
	// In this time each member publishes its state at least once more.
	return f.publishFor(max(settlePeriod, member.UpdatePeriod(p.Members)*5/4))
}

// publishFor publishes the entry states once per second for a duration.
func (f *fleet) publishFor(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.publishEntryStates()
		if err := f.sleep(publishPeriod); err != nil {
			return err
		}
	}
	return nil
}

// measureCalm measures a period without faults, with template changes at the
// planned rate.
func (f *fleet) measureCalm(p *Point, before float64) error {
	members := float64(len(f.entries))
	p.MemoryMB = (memoryInUse() - before) / members / 1e6
	changePeriod := 24 * time.Hour / templateChangesPerDay
	nextChange := time.Now()
	start, cpu, sent := time.Now(), cputime.Used(), f.traffic()
	for time.Since(start) < time.Duration(f.cfg.Seconds)*time.Second {
		if !time.Now().Before(nextChange) {
			nextChange = nextChange.Add(changePeriod)
			if err := f.publishTemplate(); err != nil {
				return err
			}
		}
		if err := f.publishFor(publishPeriod); err != nil {
			return err
		}
	}
	seconds := time.Since(start).Seconds()
	now := f.traffic()
	p.SentBytesPerSecond = float64(now.SentBytes-sent.SentBytes) / members / seconds
	p.ReceivedBytesPerSecond = float64(now.ReceivedBytes-sent.ReceivedBytes) / members / seconds
	p.MessagesPerSecond = float64(now.SentMessages-sent.SentMessages) / members / seconds
	p.CorePercent = 100 * (cputime.Used() - cpu).Seconds() / members / seconds
	mean, _ := f.countedTable.since(start)
	p.TableReads, p.TableWrites, p.TableRows = mean.Reads, mean.Writes, mean.Rows
	for _, e := range f.entries {
		p.MaxNeighbours = max(p.MaxNeighbours, float64(len(e.mesh.Peers())))
	}
	return nil
}

// measureNotices measures the time until all entries have received a notice.
func (f *fleet) measureNotices(p *Point) error {
	for i := range propagationRuns {
		n := drain.Notice{HostID: fmt.Sprint("host-", i), Incarnation: "1", Reason: drain.ReasonReclaim}
		start := time.Now()
		f.entries[f.rng.IntN(len(f.entries))].mesh.BroadcastNotice(n)
		err := f.waitForAll("notice", propagationTimeout, func(e *entry) bool { return e.notices.Leaving(n.HostID, "1") })
		if err != nil {
			return err
		}
		p.NoticeSeconds = max(p.NoticeSeconds, time.Since(start).Seconds())
	}
	return nil
}

// measureTemplate measures the time until all entries have applied an approved
// template.
func (f *fleet) measureTemplate(p *Point) error {
	for range propagationRuns {
		start := time.Now()
		if err := f.publishTemplate(); err != nil {
			return err
		}
		err := f.waitForAll("template", propagationTimeout, func(e *entry) bool { return e.watcher.Version() >= f.templateVersion })
		if err != nil {
			return err
		}
		p.TemplateSeconds = max(p.TemplateSeconds, time.Since(start).Seconds())
	}
	return nil
}

// measureDomainNotices measures the concurrent notices of all replicas of a
// failure domain.
func (f *fleet) measureDomainNotices(p *Point) error {
	hosts := f.cfg.Replicas / plannedDomains
	before, start, cpu := f.traffic(), time.Now(), cputime.Used()
	source := f.entries[f.rng.IntN(len(f.entries))]
	for i := range hosts {
		source.mesh.BroadcastNotice(drain.Notice{
			HostID:        fmt.Sprint("replica-", i),
			Incarnation:   "1",
			FailureDomain: "domain-03",
			Reason:        drain.ReasonReclaim,
			Remaining:     30 * time.Second,
		})
	}
	err := f.waitForAll("notices of a failure domain", propagationTimeout, func(e *entry) bool {
		for i := range hosts {
			if !e.notices.Leaving(fmt.Sprint("replica-", i), "1") {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	p.DomainNoticesSeconds = time.Since(start).Seconds()
	p.DomainNoticesCoreMS = 1e3 * (cputime.Used() - cpu).Seconds() / float64(len(f.entries))
	if err := f.publishFor(2 * time.Second); err != nil {
		return err
	}
	p.DomainNoticesKB = float64(f.traffic().SentBytes-before.SentBytes) / float64(len(f.entries)) / 1e3
	return nil
}

// measureRestart measures a simultaneous restart of all entries of a failure
// domain.
func (f *fleet) measureRestart(p *Point) error {
	var victims []*entry
	for _, e := range f.entries {
		if e.domain == f.entries[0].domain {
			victims = append(victims, e)
		}
	}
	start, before := time.Now(), f.traffic()
	for _, e := range victims {
		e.stop()
		f.retiredTraffic = addTraffic(f.retiredTraffic, e.mesh.Traffic())
	}
	for _, e := range victims {
		if err := e.start(f.ctx, f.countedTable, f.log); err != nil {
			return err
		}
	}
	err := f.waitForAll("restarted members", restartTimeout, func(e *entry) bool {
		for _, v := range victims {
			if !e.registry.Alive(v.id, v.registry.Self().Incarnation) {
				return false
			}
		}
		return e.watcher.Ready()
	})
	if err != nil {
		return err
	}
	p.Restarted = float64(len(victims))
	p.RestartSeconds = time.Since(start).Seconds()
	if err := f.publishFor(5 * time.Second); err != nil {
		return err
	}
	_, peak := f.countedTable.since(start)
	p.RestartPeakReads, p.RestartPeakWrites, p.RestartPeakRows = peak.Reads, peak.Writes, peak.Rows
	p.RestartKB = float64(f.traffic().SentBytes-before.SentBytes) / float64(len(f.entries)) / 1e3
	return nil
}

// measureOutage makes the table unavailable and measures the load on it after
// it has recovered.
func (f *fleet) measureOutage(p *Point) error {
	f.table.SetFaults(standin.TableFaults{Outage: true})
	if err := f.publishFor(outagePeriod); err != nil {
		return err
	}
	for _, e := range f.entries {
		p.OutageLostMembers = max(p.OutageLostMembers, float64(len(f.entries)-len(e.registry.Members())))
	}
	start := time.Now()
	f.table.SetFaults(standin.TableFaults{})
	if err := f.publishFor(recoveryPeriod); err != nil {
		return err
	}
	_, peak := f.countedTable.since(start)
	p.RecoveryPeakReads, p.RecoveryPeakWrites, p.RecoveryPeakRows = peak.Reads, peak.Writes, peak.Rows
	return nil
}
