package randomised

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	infrastandin "github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// fault is something that goes wrong at a time of the run. Its effect has
// ended when undo returns.
type fault struct {
	name string
	at   time.Duration
	// lasts is the time between do and undo.
	lasts time.Duration
	do    func(w *world)
	undo  func(w *world)
}

// drawFaults draws a schedule from a seed.
func drawFaults(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, 77))
	var out []fault
	for range 3 + rng.IntN(6) {
		f := makers[rng.IntN(len(makers))](rng)
		f.at = time.Duration(rng.Int64N(int64(loadTime - 5*time.Second)))
		f.lasts = time.Second + time.Duration(rng.Int64N(int64(7*time.Second)))
		out = append(out, f)
	}
	return out
}

type maker func(rng *rand.Rand) fault

var makers = []maker{
	tableFault("table outage", func(f *infrastandin.TableFaults) { f.Outage = true }),
	tableFault("table hangs", func(f *infrastandin.TableFaults) { f.Hang = true }),
	tableFault("table slow", func(f *infrastandin.TableFaults) { f.Latency = 300 * time.Millisecond }),
	tableFault("answers of writes lost", func(f *infrastandin.TableFaults) { f.LoseAnswer = 0.4 }),
	tableFault("writes lost", func(f *infrastandin.TableFaults) { f.LoseRequest = 0.3 }),
	tableFault("writes late", func(f *infrastandin.TableFaults) { f.LoseRequest, f.Late = 0.3, 3*time.Second }),
	engineFault("engines cross frames", func(f *enginestandin.EngineFaults) { f.CrossFrame = 0.05 }),
	engineFault("engines repeat and miss frames", func(f *enginestandin.EngineFaults) { f.RepeatFrame, f.DropFrame = 0.05, 0.03 }),
	engineFault("engines send late frames", func(f *enginestandin.EngineFaults) { f.LateFrame = 0.05 }),
	engineFault("streams cut", func(f *enginestandin.EngineFaults) { f.CutStream = 0.02 }),
	engineFault("end marks wrong", func(f *enginestandin.EngineFaults) { f.WrongTotal, f.EarlyEnd = 0.2, 0.01 }),
	serviceFault("services slow", func(f *enginestandin.ServiceFaults) { f.Slow = 3 * time.Second }),
	serviceFault("services die before", func(f *enginestandin.ServiceFaults) { f.DieBefore = 0.3 }),
	serviceFault("services die after", func(f *enginestandin.ServiceFaults) { f.DieAfter = 0.3 }),
	killEntry, restartEntry, pauseEntry,
	cutEntries, cutPlatform,
	reclaimHost, reclaimDomain, killHost,
	approveTemplate,
}

func nothing(*world) {}

func tableFault(name string, set func(*infrastandin.TableFaults)) maker {
	return func(*rand.Rand) fault {
		change := func(w *world, f func(*infrastandin.TableFaults)) {
			table := w.deploy.Standins.Platform.Table
			faults := table.Faults()
			f(&faults)
			table.SetFaults(faults)
		}
		return fault{
			name: name,
			do:   func(w *world) { change(w, set) },
			undo: func(w *world) {
				change(w, func(f *infrastandin.TableFaults) {
					*f = infrastandin.TableFaults{Latency: 2 * time.Millisecond}
				})
			},
		}
	}
}

func engineFault(name string, set func(*enginestandin.EngineFaults)) maker {
	return func(*rand.Rand) fault {
		return fault{
			name: name,
			do: func(w *world) {
				for _, e := range w.deploy.Standins.Engines() {
					f := e.Faults()
					set(&f)
					e.SetFaults(f)
				}
			},
			undo: func(w *world) {
				for _, e := range w.deploy.Standins.Engines() {
					e.SetFaults(enginestandin.EngineFaults{})
				}
			},
		}
	}
}

func serviceFault(name string, set func(*enginestandin.ServiceFaults)) maker {
	return func(*rand.Rand) fault {
		return fault{
			name: name,
			do: func(w *world) {
				for _, s := range w.deploy.Standins.PlainServices() {
					f := s.Faults()
					set(&f)
					s.SetFaults(f)
				}
			},
			undo: func(w *world) {
				for _, s := range w.deploy.Standins.PlainServices() {
					s.SetFaults(enginestandin.ServiceFaults{})
				}
			},
		}
	}
}

func killEntry(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	return fault{
		name: fmt.Sprintf("entry %d killed", i+1),
		do: func(w *world) {
			w.killed = true
			w.deploy.KillEntry(context.Background(), i)
		},
		undo: func(w *world) { w.startAgain(i) },
	}
}

func restartEntry(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	return fault{
		name: fmt.Sprintf("entry %d restarted", i+1),
		do: func(w *world) {
			if err := w.deploy.StopEntry(context.Background(), i); err != nil {
				w.t.Errorf("stop entry %d: %v", i+1, err)
			}
		},
		undo: func(w *world) { w.startAgain(i) },
	}
}

// startAgain starts an entry; the table may be down, then it is tried again.
func (w *world) startAgain(i int) {
	for !w.deploy.Up(i) {
		if err := w.deploy.StartEntry(context.Background(), i); err != nil {
			time.Sleep(time.Second)
		}
	}
}

func pauseEntry(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	return fault{
		name: fmt.Sprintf("entry %d paused", i+1),
		do:   func(w *world) { w.deploy.PauseEntry(i) },
		undo: func(w *world) { w.deploy.ResumeEntry(i) },
	}
}

func cutEntries(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	j := (i + 1) % entryCount
	return cut(fmt.Sprintf("entries %d and %d cut", i+1, j+1), entryIP(i), entryIP(j))
}

func cutPlatform(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	return cut(fmt.Sprintf("entry %d cut from the platform", i+1), entryIP(i), platformIP)
}

func cut(name, a, b string) fault {
	return fault{
		name: name,
		do:   func(w *world) { w.network.SetCut(a, b, true) },
		undo: func(w *world) { w.network.SetCut(a, b, false) },
	}
}

func reclaimHost(rng *rand.Rand) fault {
	notice := time.Duration(rng.Int64N(int64(15 * time.Second)))
	pick := rng.IntN(1 << 16)
	return fault{
		name: fmt.Sprintf("host reclaimed within %s", notice),
		do: func(w *world) {
			if hosts := w.reclaimable(); len(hosts) > 2 {
				w.deploy.Standins.Reclaim(hosts[pick%len(hosts)], notice)
			}
		},
		undo: nothing,
	}
}

func reclaimDomain(rng *rand.Rand) fault {
	notice := 2*time.Second + time.Duration(rng.Int64N(int64(15*time.Second)))
	name := domain(rng.IntN(domainCount))
	return fault{
		name: fmt.Sprintf("%s reclaimed within %s", name, notice),
		do: func(w *world) {
			if len(w.reclaimable()) > 4 {
				w.deploy.Standins.ReclaimDomain(name, notice)
			}
		},
		undo: nothing,
	}
}

func killHost(rng *rand.Rand) fault {
	pick := rng.IntN(1 << 16)
	return fault{
		name: "host killed",
		do: func(w *world) {
			if hosts := w.reclaimable(); len(hosts) > 2 {
				w.deploy.Standins.Kill(hosts[pick%len(hosts)])
			}
		},
		undo: nothing,
	}
}

// reclaimable lists the hosts that may go: those with engines.
func (w *world) reclaimable() []string {
	var out []string
	for _, h := range w.deploy.Standins.Hosts() {
		if h.Reclaimable {
			out = append(out, h.ID)
		}
	}
	return out
}

func approveTemplate(rng *rand.Rand) fault {
	share := 1 + rng.Float64()
	return fault{
		name: "template approved",
		do: func(w *world) {
			store := template.NewStore(w.deploy.Standins.Platform.Table, template.StoreOptions{})
			head, err := store.Head(context.Background(), "test")
			if err != nil {
				return
			}
			t := testTemplate()
			t.Customers[0].Share = share
			_, _ = store.Publish(context.Background(), head.Version, "operator", t)
		},
		undo: nothing,
	}
}
