package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bigConfigs is the number of changes of big_config, which each add as many
	// routes as the largest one in the site file does.
	bigConfigs, addedRoutes = 10, 400
	// stormChanges and stormGap are the dose of config_storm in the site file: a
	// change each 0.08 s for 2 s. A storm comes every stormPeriod.
	stormChanges = 25
	stormGap     = 80 * time.Millisecond
	stormPeriod  = 3 * time.Second
	// storms is the number of storms. None begins later than lastStorm.
	storms    = 28
	lastStorm = 100 * time.Second
	// memoryLimit is memory_mb.
	memoryLimit = 284 << 20
	// configApply is config_apply_ms.
	configApply = 2 * time.Second
	// cutFactor is how many times as often requests must be cut beside a change as
	// at other times to count.
	cutFactor = 3
)

// configGrowth changes a large configuration again and again.
func configGrowth(w *world, trouble bool) ([]string, error) {
	w.configure()
	for _, service := range modelServices[:1] {
		for _, zone := range zones {
			for range 4 {
				if err := w.cloud.add(service, zone); err != nil {
					return nil, err
				}
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients, watchers sync.WaitGroup
	defer watchers.Wait()
	defer cancel()
	for i := range 3 {
		e := w.addEntry(i)
		if err := e.start(); err != nil {
			return nil, err
		}
		go e.probe(ctx)
		watchers.Go(func() { e.limitMemory(ctx) })
	}
	time.Sleep(trafficStart)
	w.note("traffic starts")
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	for _, e := range w.entries {
		if !e.isReady() {
			return nil, fmt.Errorf("%s isn't ready", e.name)
		}
		clients.Go(func() { e.traffic(sending, &clients, modelServices[0]) })
	}
	for range bigConfigs {
		w.grow(addedRoutes)
		time.Sleep(500 * time.Millisecond)
	}
	for range storms {
		if time.Since(w.began) > lastStorm {
			break
		}
		if trouble {
			for range stormChanges {
				w.configure()
				time.Sleep(stormGap)
			}
			time.Sleep(stormPeriod - stormChanges*stormGap)
		} else {
			time.Sleep(time.Second)
		}
		if w.killed() {
			break
		}
	}
	time.Sleep(time.Second)
	stopSending()
	clients.Wait()
	return w.lost(), nil
}

// limitMemory kills the process when it exceeds memory_mb, as the platform does,
// and starts it again.
func (e *entry) limitMemory(ctx context.Context) {
	highest := int64(0)
	for tick := 0; ctx.Err() == nil; tick++ {
		time.Sleep(50 * time.Millisecond)
		e.mu.Lock()
		cmd, exited := e.cmd, e.exited
		e.mu.Unlock()
		used := residentBytes(cmd.Process.Pid)
		highest = max(highest, used)
		if tick%100 == 0 {
			e.w.note("memory  %s uses %d MB, at most %d MB so far", e.name, used>>20, highest>>20)
		}
		if used <= memoryLimit {
			continue
		}
		e.w.note("memory  %s uses %d MB and is killed: more than memory_mb", e.name, used>>20)
		e.mu.Lock()
		e.killedAt = append(e.killedAt, time.Now())
		e.mu.Unlock()
		_ = cmd.Process.Kill()
		<-exited
		time.Sleep(500 * time.Millisecond)
		if ctx.Err() == nil && e.start() != nil {
			return
		}
	}
}

func (w *world) killed() bool {
	for _, e := range w.entries {
		e.mu.Lock()
		n := len(e.killedAt)
		e.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10
}

// lost returns the requests that were cut beside a change of the configuration, if
// these are over three times as many as those that were cut at other times.
func (w *world) lost() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.cut) <= cutFactor*w.cutElsewhere {
		return nil
	}
	return w.cut
}

// noteCut records that the channel of a request ended without a complete answer
// although a replica ran it. Requests that had used seven tenths of their time
// don't count.
func (w *world) noteCut(r request, sent time.Time, entry, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ran[r.id] || time.Since(sent) > r.deadline*7/10 {
		return
	}
	if time.Since(w.configuredAt) > configApply+time.Second {
		w.cutElsewhere++
		return
	}
	w.cut = append(w.cut, fmt.Sprintf("%s passed %s on to a replica and closed its channel with %s, %v after the last change of the configuration",
		entry, r.id, how, time.Since(w.configuredAt).Round(time.Millisecond)))
}
