package gateway

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// log logs the outcome of the request with the inputs of the decisions on it.
func (x *exchange) log(outcome string, err error) {
	f := logrus.Fields{"request": x.req.ID, "outcome": outcome, "status": x.status, "ms": time.Since(x.arrived).Milliseconds()}
	if x.route != nil {
		f["route"], f["configuration"] = x.route.Name, x.cfg.Version
	}
	if x.customer != nil {
		f["customer"], f["units"] = x.customer.Name, x.units
		if x.limitDecision.Local || x.limitDecision.Owner != "" {
			f["limit_kept_by"] = cmp.Or(x.limitDecision.Owner, "own part")
		}
	}
	if x.replica != "" {
		f["replica"], f["sends"] = x.replica, x.sends
		x.addChoiceFields(f)
	}
	x.addRoomFields(f)
	if x.framing != "" {
		f["framing"] = x.framing
	}
	if x.refusal != nil {
		f["refused_by"], f["refused_with"], f["refusal_names"] = x.refusal.replica, x.refusal.status, x.refusal.requestID
		f["refused_after_requests"] = x.refusal.served
	}
	if x.stated.Leaving {
		f["replica_leaving"], f["leaving_was_known"] = true, x.knownLeaving
	}
	if limit := max(x.stated.Limit, x.permit.Limit); limit > 0 {
		f["replica_limit"], f["permit_by"], f["permit_ms"] = limit, x.permit.By, x.permit.Delay.Milliseconds()
	}
	if x.stated.Pause > 0 {
		f["replica_pause_ms"] = x.stated.Pause.Milliseconds()
	}
	if x.firstEventLatency > 0 {
		f["first_ms"], f["events"], f["partial_event_bytes"] = x.firstEventLatency.Milliseconds(), x.events, x.partialEvent
	}
	if err != nil {
		if shared := x.sharedPartIDs(); len(shared) > 0 {
			f["parts"] = quarantine.PartNames(shared)
		}
		addAgeField(f, "configuration_age_ms", x.h.ConfigAge)
		if wait := verdict.RetryAfterOf(err); wait > 0 {
			f["retry_after_ms"] = wait.Milliseconds()
		}
		x.h.Log.WithFields(f).WithError(err).WithField("verdict", verdict.Of(err).String()).Warn("gateway: request ended.")
		return
	}
	x.h.Log.WithFields(f).Info("gateway: request ended.")
}

// addAgeField adds the age of the state that a decision was based on to the
// fields of a log line.
func addAgeField(f logrus.Fields, name string, age func() (time.Duration, bool)) {
	if d, ok := age(); ok {
		f[name] = d.Milliseconds()
	}
}
