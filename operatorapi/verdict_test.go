package operatorapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func TestTableFaultVerdicts(t *testing.T) {
	tests := []struct {
		name     string
		faults   standin.TableFaults
		approved bool
		want     verdict.Verdict
	}{
		{"outage", standin.TableFaults{Outage: true}, false, verdict.NotRun},
		{"lost answer is read back", standin.TableFaults{LoseAnswer: 1}, true, verdict.Ran},
		{"lost request", standin.TableFaults{LoseRequest: 1}, false, verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := startServer(t)
			ctx := context.Background()
			draft, err := h.client.Edit(ctx, "karoo-wick", operatorapi.EditRequest{Author: "ana", TOML: shippedTemplate(c)})
			c.Assert(err, qt.IsNil)
			h.table.SetFaults(test.faults)
			reply, err := h.client.Approve(ctx, "karoo-wick", operatorapi.ApproveRequest{DraftID: draft.DraftID, Author: "ana"})
			if test.approved {
				c.Assert(err, qt.IsNil)
				c.Assert(reply.Version, qt.Equals, uint64(1))
				return
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(verdict.Of(err), qt.Equals, test.want)
		})
	}
}

// TestClientVerdictWithoutServerAnswer checks the verdict if the answer is lost
// or does not come from the server. It must be MayHaveRun for a write, and
// NotRun for a read, which never has an effect.
func TestClientVerdictWithoutServerAnswer(t *testing.T) {
	c := qt.New(t)
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "bad gateway", http.StatusBadGateway)
	}))
	defer broken.Close()
	client := operatorapi.NewClient(broken.URL, key, broken.Client())
	_, err := client.Drain(context.Background(), operatorapi.DrainTarget{Host: "h1"})
	c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	_, err = client.Status(context.Background())
	c.Assert(err, qt.IsNotNil)
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}
