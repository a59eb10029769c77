package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func post(p *standin.Platform, body string) int {
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(body)))
	return w.Code
}

// TestFaultsChangeOverHTTP posts some of the faults and checks their effect.
// The others must stay as they were.
func TestFaultsChangeOverHTTP(t *testing.T) {
	for _, test := range []struct {
		name, body string
		check      func(c *qt.C, p *standin.Platform)
	}{
		{"table outage", `{"table":{"outage":true}}`, func(c *qt.C, p *standin.Platform) {
			_, _, err := p.Table.Get(c.TB.Context(), "k")
			c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable)
		}},
		{"table latency", `{"table":{"latency_ns":5000000}}`, func(c *qt.C, p *standin.Platform) {
			start := time.Now()
			_, _, err := p.Table.Get(c.TB.Context(), "k")
			c.Assert(err, qt.IsNil)
			c.Assert(time.Since(start), qt.Equals, 5*time.Millisecond)
		}},
		{"refused class", `{"cloud":{"refuse_classes":["gpu"]}}`, func(c *qt.C, p *standin.Platform) {
			_, err := p.Cloud.Request(c.TB.Context(), infra.HostRequest{RequestID: "r", FailureDomain: "d", Class: "gpu"})
			c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable)
		}},
		{"lost notices", `{"cloud":{"notice_lost":true}}`, func(c *qt.C, p *standin.Platform) {
			p.Cloud.Announce("h", time.Second)
			notices, err := p.Cloud.Notices(c.TB.Context(), 0)
			c.Assert(err, qt.IsNil)
			c.Assert(notices, qt.HasLen, 0)
		}},
		{"slower weight store", `{"weight_store":{"loads_per_minute":6}}`, func(c *qt.C, p *standin.Platform) {
			_, err := p.WeightStore.Reserve(c.TB.Context(), "m", "1")
			c.Assert(err, qt.IsNil)
			wait, err := p.WeightStore.Reserve(c.TB.Context(), "m", "1")
			c.Assert(err, qt.IsNil)
			c.Assert(wait, qt.Equals, 10*time.Second)
			p.WeightStore.SetFaults(standin.WeightStoreFaults{})
			time.Sleep(time.Minute)
			wait, err = p.WeightStore.Reserve(c.TB.Context(), "m", "1")
			c.Assert(err, qt.IsNil)
			c.Assert(wait, qt.Equals, time.Duration(0))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := standin.NewPlatform(1)
				p.HostList.Put(infra.Host{ID: "h"})
				p.Cloud.SetOffers([]infra.Offer{{FailureDomain: "d", Class: "gpu"}})
				p.WeightStore.Publish("m", "1")
				p.HostList.SetFaults(standin.HostListFaults{Lag: time.Hour})
				c.Assert(post(p, "{"), qt.Equals, http.StatusBadRequest)
				c.Assert(post(p, test.body), qt.Equals, http.StatusOK)
				c.Assert(p.Faults().HostList.Lag, qt.Equals, time.Hour)
				test.check(c, p)
			})
		})
	}
}
