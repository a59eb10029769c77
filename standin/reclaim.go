package standin

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// Reclaim announces that a host will be reclaimed after notice, and stops it
// then. CloudFaults can shift the time at which it stops. Reclaim returns false
// for an unknown host.
func (d *Deployment) Reclaim(hostID string, notice time.Duration) bool {
	delay := max(0, notice+d.Platform.Cloud.Faults().ReclaimDelay)
	d.mu.Lock()
	m, ok := d.machines[hostID]
	if !ok || d.closed {
		d.mu.Unlock()
		return false
	}
	if m.reclaimTimer == nil {
		m.reclaimTimer = time.AfterFunc(delay, func() { d.Kill(hostID) })
	}
	if m.engine != nil {
		m.engine.SetLeaving(true)
	}
	d.mu.Unlock()
	// The cloud calls this deployment's Provision while it holds its own lock,
	// so d.mu must not be held here: the locks would be taken in both orders.
	d.Platform.Cloud.Announce(hostID, notice)
	d.log.WithFields(logrus.Fields{"host": hostID, "notice": notice}).Info("standin: host will be reclaimed.")
	return true
}

// ReclaimDomain reclaims all hosts of a failure domain and returns their
// number.
func (d *Deployment) ReclaimDomain(failureDomain string, notice time.Duration) int {
	n := 0
	for _, h := range d.Hosts() {
		if h.FailureDomain == failureDomain && d.Reclaim(h.ID, notice) {
			n++
		}
	}
	return n
}

// Kill stops a host at once: its connections are reset and its listeners are
// closed. It returns false for an unknown host.
func (d *Deployment) Kill(hostID string) bool {
	d.mu.Lock()
	m, ok := d.machines[hostID]
	if !ok || d.closed {
		d.mu.Unlock()
		return false
	}
	delete(d.machines, hostID)
	d.stopped = append(d.stopped, m)
	m.stop()
	d.mu.Unlock()
	d.Platform.HostList.Remove(hostID)
	d.log.WithField("host", hostID).Info("standin: host stopped.")
	return true
}

// Hosts returns the running hosts without delay, in no particular order.
func (d *Deployment) Hosts() []infra.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := make([]infra.Host, 0, len(d.machines))
	for _, m := range d.machines {
		hosts = append(hosts, m.host)
	}
	return hosts
}
