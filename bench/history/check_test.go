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
		Class:    workload.Class{Kind: "order", Call: &workload.Call{Service: "orders", Once: true}},
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

func TestCheckFindsEachBrokenPromise(t *testing.T) {
	entryDied := history.Allow{CutAttached: true}
	cases := []struct {
		name   string
		record history.Record
		did    standin.Records
		allow  history.Allow
		// want is the broken promise; empty for none.
		want string
	}{
		{"confirmed and executed", history.Record{Request: order(), Outcome: history.Whole}, executed(1), history.Allow{}, ""},
		{"refused and not executed", history.Record{Request: order(), Outcome: history.NotRun}, executed(0), history.Allow{}, ""},
		{"unknown may have run", history.Record{Request: order(), Outcome: history.Unknown}, executed(1), history.Allow{}, ""},
		{"executed twice", history.Record{Request: order(), Outcome: history.Whole}, executed(2), history.Allow{}, history.PromiseOnce},
		{"refused but executed", history.Record{Request: order(), Outcome: history.NotRun}, executed(1), history.Allow{}, history.PromiseNotRun},
		{"confirmed but not executed", history.Record{Request: order(), Outcome: history.Whole}, executed(0), history.Allow{}, history.PromiseConfirmed},
		{"crossed answer", history.Record{Request: question(false), Outcome: history.Crossed}, executed(0), entryDied, history.PromiseOwner},
		{"reply against the interface", history.Record{Request: question(false), Outcome: history.Wrong}, executed(0), entryDied, history.PromiseInterface},
		{"lost answer", history.Record{Request: question(false), Outcome: history.Lost, Cut: true}, executed(0), history.Allow{}, history.PromiseWhole},
		{"cut by an entry's death", history.Record{Request: question(false), Outcome: history.Lost, Cut: true}, executed(0), entryDied, ""},
		{"short answer passed on as whole", history.Record{Request: question(false), Outcome: history.Lost}, executed(0), entryDied, history.PromiseWhole},
		{"durable answer has no excuse", history.Record{Request: question(true), Outcome: history.Lost, Cut: true}, executed(0), entryDied, history.PromiseWhole},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			found := history.Check([]history.Record{tc.record}, tc.did, tc.allow)
			if tc.want == "" {
				c.Assert(found, qt.HasLen, 0)
				return
			}
			c.Assert(found, qt.HasLen, 1)
			c.Assert(found[0].Promise, qt.Equals, tc.want)
		})
	}
}
