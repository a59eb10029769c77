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
	// ScheduleDemo is what the demonstration shows: a reclaimed failure
	// domain, an entry stopped, and the table down.
	ScheduleDemo Schedule = "demo"
)

// Schedules lists all schedules.
func Schedules() []Schedule {
	return []Schedule{
		ScheduleCalm, ScheduleWave, ScheduleWaves, ScheduleTableOutage, ScheduleLostWrites, ScheduleEntryCrash,
		ScheduleEntryPause, ScheduleRollingRestart, ScheduleTemplateRace, ScheduleEverything, ScheduleDemo,
	}
}

// notice is how long before it is taken a host is announced.
const notice = 3 * time.Second

// step is a fault at a part of the run's duration.
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
		return []step{{0.2, "writes lost", loseWrites}, {0.8, "writes kept", healTable}}
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
			{0.1, "writes lost", loseWrites}, reclaim(0.25, 0), crash(0.35, 0), {0.4, "writes kept", healTable},
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
		r.deploy.Standins.ReclaimDomain(name, notice)
		r.watchNewWork(name)
	}}
}

func refuseHosts(r *run) {
	p := r.deploy.Standins.Platform
	f := p.Faults()
	f.Cloud.RefuseAll = true
	p.SetFaults(f)
}

func (r *run) changeTable(f func(*infrastandin.TableFaults)) {
	table := r.deploy.Standins.Platform.Table
	faults := table.Faults()
	f(&faults)
	table.SetFaults(faults)
}

func outage(at, lasts float64) step {
	return step{at, "table service down", func(r *run) {
		r.changeTable(func(f *infrastandin.TableFaults) { f.Outage = true })
		time.Sleep(time.Duration(lasts * float64(r.config.Duration)))
		healTable(r)
	}}
}

func loseWrites(r *run) {
	r.changeTable(func(f *infrastandin.TableFaults) {
		f.LoseAnswer, f.LoseRequest, f.Late = 0.15, 0.1, time.Second
	})
}

func healTable(r *run) {
	r.changeTable(func(f *infrastandin.TableFaults) {
		*f = infrastandin.TableFaults{Latency: f.Latency}
	})
}

// downTime is how long an entry host is away.
const downTime = 2 * time.Second

func crash(at float64, i int) step {
	return step{at, "entry killed", func(r *run) {
		r.killed.Store(true)
		r.deploy.KillEntry(context.Background(), i)
		time.Sleep(downTime)
		r.startAgain(i)
	}}
}

func pause(at float64, i int) step {
	return step{at, "entry paused", func(r *run) {
		r.deploy.PauseEntry(i)
		time.Sleep(2 * downTime)
		r.deploy.ResumeEntry(i)
	}}
}

func restart(at float64, i int) step {
	return step{at, "entry stopped and started", func(r *run) {
		if err := r.deploy.StopEntry(context.Background(), i); err != nil {
			r.fail("stop entry: %v", err)
		}
		r.startAgain(i)
	}}
}

// startAgain starts an entry host; while the table is down it is tried again.
func (r *run) startAgain(i int) {
	for !r.deploy.Up(i) {
		if err := r.deploy.StartEntry(context.Background(), i); err != nil {
			time.Sleep(time.Second)
		}
	}
}

// approveTwice lets two operators approve an edit of the same version at
// once. One of them must get a conflict.
func approveTwice(r *run) {
	store := template.NewStore(r.deploy.Standins.Platform.Table, template.StoreOptions{})
	head, err := store.Head(context.Background(), r.config.Deployment)
	if err != nil {
		r.fail("read template head: %v", err)
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
		r.fail("two operators both approved on version %d", head.Version)
	}
	r.converge(max(first, second))
}
