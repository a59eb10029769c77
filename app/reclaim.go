package app

import (
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/reclaim"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
)

// reclaimModule moves running streams off hosts that will be reclaimed.
var reclaimModule = fx.Module("reclaim", fx.Invoke(runReclaim))

// runReclaim plans the moves for hosts with a disruption notice. On a host that
// an operator drains, all streams finish in place.
func runReclaim(lc fx.Lifecycle, l *Loops, r *relay.Relay, f *routing.Fleet, m *member.Registry, notices *drain.Set, x Experiment, s settings.Entry, log *logrus.Logger) {
	if x.RestartOnReclaim {
		return
	}
	c := &streamCarrier{relay: r, fleet: f, members: m, kv: s.KV}
	runner := reclaim.NewRunner(reclaim.RunnerOptions{Carrier: c, Targets: c.targets, Log: entryLog(log, s)})
	notices.OnLeaving(func(n drain.Notice) {
		if n.HostID != "" && n.Reason != drain.ReasonOperator {
			runner.Announce(n.HostID, n.Remaining)
		}
	})
	l.Go(lc, runner.Run)
}

// streamCarrier is the stream mover of package reclaim: it lists the streams of
// the relay and the load of the fleet for planning, and moves streams.
type streamCarrier struct {
	relay   *relay.Relay
	fleet   *routing.Fleet
	members *member.Registry
	kv      settings.KV
}

// Streams implements reclaim.Carrier.
func (c *streamCarrier) Streams(hostID string) []reclaim.Stream {
	rates := make(map[string]float64)
	for _, l := range c.fleet.Loads() {
		rates[l.Endpoint.ID] = l.DecodeRate
	}
	var out []reclaim.Stream
	for _, s := range c.relay.Streams(hostID) {
		out = append(out, reclaim.Stream{
			ID:              s.RequestID,
			HostID:          hostID,
			Model:           s.Model,
			Version:         s.Version,
			Urgency:         s.Urgency,
			Hashes:          s.Hashes,
			PromptTokens:    s.PromptTokens,
			GeneratedTokens: s.Tokens,
			RemainingTokens: max(0, s.MaxTokens-s.Tokens),
			DecodeRate:      rates[s.EndpointID],
			KVBytes:         int64(s.PromptTokens+s.Tokens) * c.kv.BytesPerToken,
		})
	}
	return out
}

// Move implements reclaim.Carrier.
func (c *streamCarrier) Move(hostID string, d reclaim.Decision) bool {
	return c.relay.Move(hostID, d.StreamID, relay.Move{
		MigrateKV: d.Action == reclaim.ActionMoveKV,
		Reason:    d.Reason,
	})
}

// targets returns the endpoints of the fleet, and the share of their capacity
// that this entry may use.
func (c *streamCarrier) targets(streams []reclaim.Stream) reclaim.Targets {
	t := reclaim.Targets{
		Bandwidth: c.kv.Bandwidth,
		Share:     1 / float64(max(1, len(c.members.Live()))),
	}
	for _, l := range c.fleet.Loads() {
		t.Endpoints = append(t.Endpoints, reclaim.Target{
			EndpointID:         l.Endpoint.ID,
			HostID:             l.HostID,
			Model:              l.Endpoint.Name,
			Version:            l.Endpoint.Version,
			Leaving:            l.Leaving,
			PrefillRate:        l.PrefillRate,
			DecodeRate:         l.DecodeRate,
			QueuedPromptTokens: l.QueuedPromptTokens,
			FreeSlots:          l.FreeSlots,
			Batch:              l.Batch,
			Import:             true,
		})
	}
	cached := make(map[string]map[string]int, len(streams))
	for _, s := range streams {
		cached[s.ID] = c.fleet.CachedTokens(s.Hashes)
	}
	t.Cached = func(streamID, endpointID string) int { return cached[streamID][endpointID] }
	return t
}
