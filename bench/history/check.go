package history

import (
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

// Violation is a broken promise.
type Violation struct {
	Promise string
	Detail  string
}

// The promises that are checked.
const (
	PromiseWhole       = "an accepted request is answered whole"
	PromiseOwner       = "each caller gets its own answer"
	PromiseOnce        = "orders and reservations are at most once"
	PromiseNotRun      = "what is said not to have run has not run"
	PromiseConfirmed   = "what is confirmed was executed"
	PromiseInterface   = "replies keep the interface"
	maxDetailsPerCheck = 20
)

// Allow names what a run's faults excuse.
type Allow struct {
	// CutAttached excuses attached answers that were cut off: an entry host
	// died without notice. Durable answers have no excuse.
	CutAttached bool
}

// Check holds the callers' histories against the records of the stand-ins.
func Check(records []Record, did standin.Records, allow Allow) []Violation {
	c := checker{executions: make(map[string]int), allow: allow}
	for _, service := range did.Services {
		for key, n := range service.Executions {
			c.executions[key] += n
		}
	}
	for _, r := range records {
		c.answer(r)
		c.call(r)
	}
	return c.found
}

type checker struct {
	executions map[string]int
	allow      Allow
	found      []Violation
}

func (c *checker) add(promise, format string, args ...any) {
	if len(c.found) < maxDetailsPerCheck {
		c.found = append(c.found, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) answer(r Record) {
	switch r.Outcome {
	case Lost:
		if c.allow.CutAttached && !r.Request.Class.Chat.Durable && r.Cut {
			return
		}
		c.add(PromiseWhole, "request %d (%s): %s", r.Request.Number, r.Request.Class.Kind, r.Detail)
	case Crossed:
		c.add(PromiseOwner, "request %d (%s): %s", r.Request.Number, r.Request.Class.Kind, r.Detail)
	case Wrong:
		c.add(PromiseInterface, "request %d (%s): %s", r.Request.Number, r.Request.Class.Kind, r.Detail)
	}
}

// call checks a call that may not be repeated against its executions.
func (c *checker) call(r Record) {
	if r.Request.Class.Call == nil || !r.Request.Class.Call.Once {
		return
	}
	n := c.executions[r.Request.ServiceKey()]
	switch {
	case n > 1:
		c.add(PromiseOnce, "%s was executed %d times", r.Request.Key, n)
	case r.Outcome == NotRun && n > 0:
		c.add(PromiseNotRun, "%s was executed: %s", r.Request.Key, r.Detail)
	case r.Outcome == Whole && n == 0:
		c.add(PromiseConfirmed, "%s was not executed", r.Request.Key)
	}
}
