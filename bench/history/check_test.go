package history_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

func order() workload.Request {
	return workload.Request{
		Customer: workload.Customer{Name: "one"},
		Class:    workload.Class{Kind: "order", Call: &workload.Call{Service: "orders", AtMostOnce: true}},
		Key:      "k",
	}
}

func question(durable bool) workload.Request {
	return workload.Request{Class: workload.Class{Kind: "question", Chat: &workload.Chat{Durable: durable}}}
}

func executed(n int) standin.Records {
	counts := enginestandin.ServiceCounts{Executions: map[string]int{"one/k": n}}
	return standin.Records{Services: map[string]enginestandin.ServiceCounts{"orders": counts}}
}

func TestCheckFindsEachViolation(t *testing.T) {
	entryCrashed := history.Exemptions{InterruptedAttached: true}
	cases := []struct {
		name   string
		record history.Record
		actual standin.Records
		exempt history.Exemptions
		// want is the violated guarantee, or empty for none.
		want string
	}{
		{"confirmed and executed", history.Record{Request: order(), Outcome: history.Complete}, executed(1), history.Exemptions{}, ""},
		{"refused and not executed", history.Record{Request: order(), Outcome: history.NotRun}, executed(0), history.Exemptions{}, ""},
		{"unknown may have run", history.Record{Request: order(), Outcome: history.MayHaveRun}, executed(1), history.Exemptions{}, ""},
		{"executed twice", history.Record{Request: order(), Outcome: history.Complete}, executed(2), history.Exemptions{}, history.GuaranteeAtMostOnce},
		{"refused but executed", history.Record{Request: order(), Outcome: history.NotRun}, executed(1), history.Exemptions{}, history.GuaranteeNotRun},
		{"confirmed but not executed", history.Record{Request: order(), Outcome: history.Complete}, executed(0), history.Exemptions{}, history.GuaranteeConfirmed},
		{"misdelivered answer", history.Record{Request: question(false), Outcome: history.Misdelivered}, executed(0), entryCrashed, history.GuaranteeOwnAnswer},
		{"reply that violates the interface", history.Record{Request: question(false), Outcome: history.Invalid}, executed(0), entryCrashed, history.GuaranteeInterface},
		{"lost answer", history.Record{Request: question(false), Outcome: history.Lost, Interrupted: true}, executed(0), history.Exemptions{}, history.GuaranteeComplete},
		{"interrupted by an entry crash", history.Record{Request: question(false), Outcome: history.Lost, Interrupted: true}, executed(0), entryCrashed, ""},
		{"incomplete answer marked as complete", history.Record{Request: question(false), Outcome: history.Lost}, executed(0), entryCrashed, history.GuaranteeComplete},
		{"interrupted durable answer", history.Record{Request: question(true), Outcome: history.Lost, Interrupted: true}, executed(0), entryCrashed, history.GuaranteeComplete},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			found := history.Check([]history.Record{tc.record}, tc.actual, tc.exempt)
			if tc.want == "" {
				c.Assert(found, qt.HasLen, 0)
				return
			}
			c.Assert(found, qt.HasLen, 1)
			c.Assert(found[0].Guarantee, qt.Equals, tc.want)
		})
	}
}
