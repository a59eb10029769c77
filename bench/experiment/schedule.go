package experiment

import (
	"context"
	"time"

	infrastandin "github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Schedule names the faults of a run.
type Schedule string

// Schedules.
const (
	ScheduleCalm           Schedule = "calm"
	ScheduleWave           Schedule = "wave"
	ScheduleWaves          Schedule = "waves"
	ScheduleTableOutage    Schedule = "table-outage"
	ScheduleLostWrites     Schedule = "lost-writes"
	ScheduleEntryCrash     Schedule = "entry-crash"
	ScheduleEntryPause     Schedule = "entry-pause"
	ScheduleRollingRestart Schedule = "rolling-restart"
	ScheduleTemplateRace   Schedule = "template-race"
	ScheduleEverything     Schedule = "everything"
	// ScheduleDemo is the schedule of the demonstration: an entry restarts,
	// a failure domain is reclaimed, and the table is unavailable.
	ScheduleDemo Schedule = "demo"
)

// Schedules lists all schedules.
func Schedules() []Schedule {
	return []Schedule{
		ScheduleCalm, ScheduleWave, ScheduleWaves, ScheduleTableOutage, ScheduleLostWrites, ScheduleEntryCrash,
		ScheduleEntryPause, ScheduleRollingRestart, ScheduleTemplateRace, ScheduleEverything, ScheduleDemo,
	}
}

// noticePeriod is the time from the disruption notice of a host until it is
// reclaimed.
const noticePeriod = 3 * time.Second

// step is a fault that starts at a fraction of the run's duration.
type step struct {
	at   float64
	name string
	do   func(r *run)
}

// steps returns the faults of a schedule.
func (s Schedule) steps() []step {
	switch s {
	case ScheduleWave:
		return []step{reclaim(0.4, 0)}
	case ScheduleWaves:
		return []step{{0.3, "replacements refused", refuseHosts}, reclaim(0.35, 0), reclaim(0.45, 1)}
	case ScheduleTableOutage:
		return []step{outage(0.4, 0.2)}
	case ScheduleLostWrites:
		return []step{{0.2, "writes lost", loseWrites}, {0.8, "writes kept", clearTableFaults}}
	case ScheduleEntryCrash:
		return []step{crash(0.4, 0)}
	case ScheduleEntryPause:
		return []step{pause(0.4, 0)}
	case ScheduleRollingRestart:
		return []step{restart(0.2, 0), restart(0.4, 1), restart(0.6, 2)}
	case ScheduleTemplateRace:
		return []step{{0.3, "two operators approve", approveTwice}, {0.5, "two operators approve", approveTwice}}
	case ScheduleEverything:
		return []step{
			{0.1, "writes lost", loseWrites}, reclaim(0.25, 0), crash(0.35, 0), {0.4, "writes kept", clearTableFaults},
			outage(0.45, 0.1), pause(0.6, 1), reclaim(0.65, 1), {0.7, "two operators approve", approveTwice}, restart(0.75, 2),
		}
	case ScheduleDemo:
		return []step{restart(0.3, 1), reclaim(0.5, 0), outage(0.7, 0.1)}
	default:
		return nil
	}
}

func reclaim(at float64, domain int) step {
	return step{at, "failure domain reclaimed", func(r *run) {
		name := r.domains[domain%len(r.domains)]
		r.deployment.Standins.ReclaimDomain(name, noticePeriod)
		r.watchNewWork(name)
	}}
}

func refuseHosts(r *run) {
	p := r.deployment.Standins.Platform
	f := p.Faults()
	f.Cloud.RefuseAll = true
	p.SetFaults(f)
}

func (r *run) changeTable(f func(*infrastandin.TableFaults)) {
	table := r.deployment.Standins.Platform.Table
	faults := table.Faults()
	f(&faults)
	table.SetFaults(faults)
}

func outage(at, fraction float64) step {
	return step{at, "table service down", func(r *run) {
		r.changeTable(func(f *infrastandin.TableFaults) { f.Outage = true })
		time.Sleep(time.Duration(fraction * float64(r.config.Duration)))
		clearTableFaults(r)
	}}
}

func loseWrites(r *run) {
	r.changeTable(func(f *infrastandin.TableFaults) {
		f.LoseAnswer, f.LoseRequest, f.LateCommitDelay = 0.15, 0.1, time.Second
	})
}

func clearTableFaults(r *run) {
	r.changeTable(func(f *infrastandin.TableFaults) {
		*f = infrastandin.TableFaults{Latency: f.Latency}
	})
}

// downTime is the time for which a killed entry host stays down.
const downTime = 2 * time.Second

func crash(at float64, i int) step {
	return step{at, "entry killed", func(r *run) {
		r.entryKilled.Store(true)
		r.deployment.KillEntry(context.Background(), i)
		time.Sleep(downTime)
		r.startWithRetry(i)
	}}
}

func pause(at float64, i int) step {
	return step{at, "entry paused", func(r *run) {
		r.deployment.PauseEntry(i)
		time.Sleep(2 * downTime)
		r.deployment.ResumeEntry(i)
	}}
}

func restart(at float64, i int) step {
	return step{at, "entry stopped and started", func(r *run) {
		if err := r.deployment.StopEntry(context.Background(), i); err != nil {
			r.addFailure("stop entry: %v", err)
		}
		r.startWithRetry(i)
	}}
}

// startWithRetry starts an entry host that is down. A start can fail while the
// table is unavailable, so it is retried until it succeeds.
func (r *run) startWithRetry(i int) {
	for !r.deployment.IsRunning(i) {
		if err := r.deployment.StartEntry(context.Background(), i); err != nil {
			time.Sleep(time.Second)
		}
	}
}

// approveTwice approves two edits of the same template version concurrently, as
// two operators would. One of them must get a conflict.
func approveTwice(r *run) {
	store := template.NewStore(r.deployment.Standins.Platform.Table, template.StoreOptions{})
	head, err := store.Head(context.Background(), r.config.Deployment)
	if err != nil {
		r.addFailure("read template head: %v", err)
		return
	}
	results := make(chan uint64, 2)
	for i := range 2 {
		go func() {
			t := *r.template
			t.Customers = append([]template.Customer(nil), t.Customers...)
			t.Customers[0].Share += float64(i + 1)
			version, _ := store.Publish(context.Background(), head.Version, "operator", &t)
			results <- version
		}()
	}
	first, second := <-results, <-results
	if first != 0 && second != 0 {
		r.addFailure("two operators both approved an edit of template version %d", head.Version)
	}
	r.measureConvergence(max(first, second))
}
