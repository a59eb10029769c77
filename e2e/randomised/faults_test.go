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

// fault is a failure injected at a time of the run. Its effect ends at the
// latest when undo returns.
type fault struct {
	name string
	at   time.Duration
	// duration is the time between do and undo.
	duration time.Duration
	do       func(c *testCluster)
	undo     func(c *testCluster)
}

// drawFaults returns the fault schedule of a seed.
func drawFaults(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, 77))
	var out []fault
	for range 3 + rng.IntN(6) {
		f := faultGenerators[rng.IntN(len(faultGenerators))](rng)
		f.at = time.Duration(rng.Int64N(int64(loadDuration - 5*time.Second)))
		f.duration = time.Second + time.Duration(rng.Int64N(int64(7*time.Second)))
		out = append(out, f)
	}
	return out
}

// faultGenerator draws the parameters of a fault.
type faultGenerator func(rng *rand.Rand) fault

var faultGenerators = []faultGenerator{
	tableFault("table outage", func(f *infrastandin.TableFaults) { f.Outage = true }),
	tableFault("table hangs", func(f *infrastandin.TableFaults) { f.Hang = true }),
	tableFault("table slow", func(f *infrastandin.TableFaults) { f.Latency = 300 * time.Millisecond }),
	tableFault("answers of writes lost", func(f *infrastandin.TableFaults) { f.LoseAnswer = 0.4 }),
	tableFault("writes lost", func(f *infrastandin.TableFaults) { f.LoseRequest = 0.3 }),
	tableFault("writes late", func(f *infrastandin.TableFaults) { f.LoseRequest, f.LateCommitDelay = 0.3, 3*time.Second }),
	engineFault("engines cross frames", func(f *enginestandin.EngineFaults) { f.CrossFrame = 0.05 }),
	engineFault("engines repeat and miss frames", func(f *enginestandin.EngineFaults) { f.RepeatFrame, f.DropFrame = 0.05, 0.03 }),
	engineFault("engines send late frames", func(f *enginestandin.EngineFaults) { f.LateFrame = 0.05 }),
	engineFault("streams cut", func(f *enginestandin.EngineFaults) { f.CutStream = 0.02 }),
	engineFault("end marks wrong", func(f *enginestandin.EngineFaults) { f.WrongTotal, f.EarlyEnd = 0.2, 0.01 }),
	serviceFault("services slow", func(f *enginestandin.ServiceFaults) { f.ExtraLatency = 3 * time.Second }),
	serviceFault("services die before", func(f *enginestandin.ServiceFaults) { f.DieBefore = 0.3 }),
	serviceFault("services die after", func(f *enginestandin.ServiceFaults) { f.DieAfter = 0.3 }),
	killEntry, restartEntry, pauseEntry,
	partitionEntries, partitionFromPlatform,
	reclaimHost, reclaimDomain, killHost,
	approveTemplate,
}

func noop(*testCluster) {}

func tableFault(name string, set func(*infrastandin.TableFaults)) faultGenerator {
	return func(*rand.Rand) fault {
		change := func(c *testCluster, f func(*infrastandin.TableFaults)) {
			table := c.deployment.Standins.Platform.Table
			faults := table.Faults()
			f(&faults)
			table.SetFaults(faults)
		}
		return fault{
			name: name,
			do:   func(c *testCluster) { change(c, set) },
			undo: func(c *testCluster) {
				change(c, func(f *infrastandin.TableFaults) {
					*f = infrastandin.TableFaults{Latency: 2 * time.Millisecond}
				})
			},
		}
	}
}

func engineFault(name string, set func(*enginestandin.EngineFaults)) faultGenerator {
	return func(*rand.Rand) fault {
		return fault{
			name: name,
			do: func(c *testCluster) {
				for _, e := range c.deployment.Standins.Engines() {
					f := e.Faults()
					set(&f)
					e.SetFaults(f)
				}
			},
			undo: func(c *testCluster) {
				for _, e := range c.deployment.Standins.Engines() {
					e.SetFaults(enginestandin.EngineFaults{})
				}
			},
		}
	}
}

func serviceFault(name string, set func(*enginestandin.ServiceFaults)) faultGenerator {
	return func(*rand.Rand) fault {
		return fault{
			name: name,
			do: func(c *testCluster) {
				for _, s := range c.deployment.Standins.PlainServices() {
					f := s.Faults()
					set(&f)
					s.SetFaults(f)
				}
			},
			undo: func(c *testCluster) {
				for _, s := range c.deployment.Standins.PlainServices() {
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
		do: func(c *testCluster) {
			c.entryKilled = true
			c.deployment.KillEntry(context.Background(), i)
		},
		undo: func(c *testCluster) { c.startWithRetry(i) },
	}
}

func restartEntry(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	return fault{
		name: fmt.Sprintf("entry %d restarted", i+1),
		do: func(c *testCluster) {
			if err := c.deployment.StopEntry(context.Background(), i); err != nil {
				c.t.Errorf("stop entry %d: %v", i+1, err)
			}
		},
		undo: func(c *testCluster) { c.startWithRetry(i) },
	}
}

// startWithRetry starts an entry that is down. A start can fail while the table
// is unavailable, so it is retried until it succeeds.
func (c *testCluster) startWithRetry(i int) {
	for !c.deployment.IsRunning(i) {
		if err := c.deployment.StartEntry(context.Background(), i); err != nil {
			time.Sleep(time.Second)
		}
	}
}

func pauseEntry(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	return fault{
		name: fmt.Sprintf("entry %d paused", i+1),
		do:   func(c *testCluster) { c.deployment.PauseEntry(i) },
		undo: func(c *testCluster) { c.deployment.ResumeEntry(i) },
	}
}

func partitionEntries(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	j := (i + 1) % entryCount
	return partition(fmt.Sprintf("entries %d and %d cut", i+1, j+1), entryIP(i), entryIP(j))
}

func partitionFromPlatform(rng *rand.Rand) fault {
	i := rng.IntN(entryCount)
	return partition(fmt.Sprintf("entry %d cut from the platform", i+1), entryIP(i), platformIP)
}

func partition(name, a, b string) fault {
	return fault{
		name: name,
		do:   func(c *testCluster) { c.network.SetCut(a, b, true) },
		undo: func(c *testCluster) { c.network.SetCut(a, b, false) },
	}
}

func reclaimHost(rng *rand.Rand) fault {
	notice := time.Duration(rng.Int64N(int64(15 * time.Second)))
	pick := rng.IntN(1 << 16)
	return fault{
		name: fmt.Sprintf("host reclaimed within %s", notice),
		do: func(c *testCluster) {
			if hosts := c.reclaimableHosts(); len(hosts) > 2 {
				c.deployment.Standins.Reclaim(hosts[pick%len(hosts)], notice)
			}
		},
		undo: noop,
	}
}

func reclaimDomain(rng *rand.Rand) fault {
	notice := 2*time.Second + time.Duration(rng.Int64N(int64(15*time.Second)))
	name := domain(rng.IntN(domainCount))
	return fault{
		name: fmt.Sprintf("%s reclaimed within %s", name, notice),
		do: func(c *testCluster) {
			if len(c.reclaimableHosts()) > 4 {
				c.deployment.Standins.ReclaimDomain(name, notice)
			}
		},
		undo: noop,
	}
}

func killHost(rng *rand.Rand) fault {
	pick := rng.IntN(1 << 16)
	return fault{
		name: "host killed",
		do: func(c *testCluster) {
			if hosts := c.reclaimableHosts(); len(hosts) > 2 {
				c.deployment.Standins.Kill(hosts[pick%len(hosts)])
			}
		},
		undo: noop,
	}
}

// reclaimableHosts returns the IDs of the hosts that the cloud may reclaim,
// which are those with engines.
func (c *testCluster) reclaimableHosts() []string {
	var out []string
	for _, h := range c.deployment.Standins.Hosts() {
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
		do: func(c *testCluster) {
			store := template.NewStore(c.deployment.Standins.Platform.Table, template.StoreOptions{})
			head, err := store.Head(context.Background(), "test")
			if err != nil {
				return
			}
			t := testTemplate()
			t.Customers[0].Share = share
			_, _ = store.Publish(context.Background(), head.Version, "operator", t)
		},
		undo: noop,
	}
}
