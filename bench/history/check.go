package history

import (
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

// Violation is a violated guarantee.
type Violation struct {
	Guarantee string
	Detail    string
}

// Guarantees that Check verifies. Reports name them by these texts.
const (
	GuaranteeComplete   = "an accepted request is answered whole"
	GuaranteeOwnAnswer  = "each caller gets its own answer"
	GuaranteeAtMostOnce = "orders and reservations are at most once"
	GuaranteeNotRun     = "what is said not to have run has not run"
	GuaranteeConfirmed  = "what is confirmed was executed"
	GuaranteeInterface  = "replies keep the interface"
	maxViolations       = 20
)

// Exemptions lists violations that are expected under the faults of a run.
type Exemptions struct {
	// InterruptedAttached permits interrupted attached answers, for runs in
	// which an entry host crashed without notice. Interrupted durable
	// answers are always violations.
	InterruptedAttached bool
}

// Check compares the clients' records with those of the stand-ins and returns
// the violated guarantees.
func Check(records []Record, actual standin.Records, exempt Exemptions) []Violation {
	c := checker{executions: make(map[string]int), exempt: exempt}
	for _, service := range actual.Services {
		for key, n := range service.Executions {
			c.executions[key] += n
		}
	}
	for _, r := range records {
		c.checkAnswer(r)
		c.checkCall(r)
	}
	return c.violations
}

type checker struct {
	executions map[string]int
	exempt     Exemptions
	violations []Violation
}

func (c *checker) add(guarantee, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) checkAnswer(r Record) {
	switch r.Outcome {
	case Lost:
		if c.exempt.InterruptedAttached && !r.Request.Class.Chat.Durable && r.Interrupted {
			return
		}
		c.add(GuaranteeComplete, "request %d (%s): %s", r.Request.Number, r.Request.Class.Kind, r.Detail)
	case Misdelivered:
		c.add(GuaranteeOwnAnswer, "request %d (%s): %s", r.Request.Number, r.Request.Class.Kind, r.Detail)
	case Invalid:
		c.add(GuaranteeInterface, "request %d (%s): %s", r.Request.Number, r.Request.Class.Kind, r.Detail)
	}
}

// checkCall checks a call that must not run twice against the executions that
// the service counted.
func (c *checker) checkCall(r Record) {
	if r.Request.Class.Call == nil || !r.Request.Class.Call.AtMostOnce {
		return
	}
	n := c.executions[r.Request.ServiceKey()]
	switch {
	case n > 1:
		c.add(GuaranteeAtMostOnce, "%s was executed %d times", r.Request.Key, n)
	case r.Outcome == NotRun && n > 0:
		c.add(GuaranteeNotRun, "%s was executed: %s", r.Request.Key, r.Detail)
	case r.Outcome == Complete && n == 0:
		c.add(GuaranteeConfirmed, "%s was not executed", r.Request.Key)
	}
}
