package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/room"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// longFraction is the prefill time, as a fraction of the objective, from which a
// prompt is long.
const longFraction = 0.3

// roomState is the state of a request for the admission control of its service.
type roomState struct {
	// control is nil for services without admission control.
	control  *room.Controller
	request  room.Request
	decision room.Decision
	ticket   *room.Ticket
	// full is set if the last replica refused the request because it was full.
	full bool
}

// checkRoom refuses the request if its service has no room for it.
func (x *exchange) checkRoom() error {
	service := x.cfg.Services[x.service]
	if x.h.Room == nil {
		return nil
	}
	if x.room.control = x.h.Room(service); x.room.control == nil {
		return nil
	}
	now, q := time.Now(), x.balanceQuery("")
	work := x.h.Balancer.PrefillTime(q)
	x.room.request = room.Request{
		Class:   room.Class{Customer: x.customerName(), Urgency: x.urgency(), Long: work > longFraction*x.route.Objective.Seconds()},
		Service: x.service, Route: x.route.Name, Work: work,
		Objective: x.route.Objective, Remaining: x.deadline.Sub(x.arrived), Identity: x.identity,
	}
	x.room.decision = x.room.control.Decide(now, x.room.request)
	if x.room.decision.Admit {
		x.room.ticket = x.room.control.Begin(now, x.room.request)
		return nil
	}
	if !x.room.decision.Returning {
		// Refused demand counts as demand for engines, once.
		x.h.Balancer.RecordUnserved(q)
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "service %q has no room for the request", x.service).WithRetryAfter(x.room.decision.RetryAfter)
}

// identity returns a number that is equal for the attempts of one request.
func (x *exchange) identity() uint64 {
	d := xxhash.New()
	// Writing to a digest can't fail.
	for _, s := range []string{x.customerName(), x.route.Name, x.r.Method, x.r.RequestURI} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// firstTokenForRoom records that the first token, or the answer, has arrived.
func (x *exchange) firstTokenForRoom() {
	if x.room.ticket != nil {
		x.room.ticket.FirstToken(time.Now())
	}
}

// endRoom records the end of the request.
func (x *exchange) endRoom() {
	if x.room.ticket != nil {
		x.room.ticket.End(time.Now(), x.headerSent && x.status < http.StatusInternalServerError)
	}
}

// retryAfterRefusal returns the Retry-After of a request that a replica refused with a
// status.
func (x *exchange) retryAfterRefusal(status int) time.Duration {
	x.room.full = status == http.StatusServiceUnavailable && !x.stated.Leaving && x.stated.Limit == 0 && x.stated.Pause == 0
	if x.room.control == nil || !x.room.full {
		return retryAfterOverload
	}
	return x.room.control.RoomIn(time.Now(), x.room.request)
}

// fullElsewhere reports whether a full replica refused the request and the other ones
// are expected to be full as well.
func (x *exchange) fullElsewhere() bool {
	full := x.room.full
	x.room.full = false
	return full && x.room.control != nil && !x.room.control.HasRoom(time.Now(), x.service, x.urgency())
}

// addRoomFields adds the inputs of the decision on room to the fields of a log line, if
// not all requests are admitted.
func (x *exchange) addRoomFields(f logrus.Fields) {
	d := x.room.decision
	if x.room.control == nil || d.Fraction >= 1 {
		return
	}
	f["room"], f["room_asked"], f["room_served"], f["room_place"] = d.Room, d.Asked, d.Fraction, d.Place
	f["room_waiting_ms"], f["room_age_ms"] = int64(1000*d.Waiting), d.Age.Milliseconds()
	f["room_alone"], f["returning"] = d.Alone, d.Returning
}
