package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
)

func TestRunInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		host := func(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }
		report, err := Run(context.Background(), Config{
			Members:  []int{6, 30},
			Replicas: 120,
			Seconds:  20,
			Seed:     1,
			Listen:   func(i int) (net.Listener, error) { return network.Listen(host(i) + ":7000") },
			Dial:     func(i int) DialFunc { return network.Dialer(host(i)) },
		})
		c.Assert(err, qt.IsNil)
		c.Assert(report.Points, qt.HasLen, 2)
		for _, p := range report.Points {
			c.Assert(p.SentBytesPerSecond > 0, qt.IsTrue)
			c.Assert(p.TableWrites > 0 && p.TableReads > 0, qt.IsTrue)
			c.Assert(p.NoticeSeconds <= budgetNoticeSeconds, qt.IsTrue)
			c.Assert(p.DomainNoticesSeconds <= budgetNoticeSeconds, qt.IsTrue)
			c.Assert(p.TemplateSeconds <= budgetTemplateSeconds, qt.IsTrue)
			c.Assert(p.Restarted > 0, qt.IsTrue)
			c.Assert(p.RecoveryPeakReads > 0, qt.IsTrue)
			c.Assert(p.OutageLostMembers, qt.Equals, 0.0)
		}
		text, err := json.Marshal(report)
		c.Assert(err, qt.IsNil)
		var back Report
		c.Assert(json.Unmarshal(text, &back), qt.IsNil)
		c.Assert(back, qt.DeepEquals, report)
		for _, fig := range figures {
			c.Assert(report.Table(), qt.Contains, fig.name)
		}
	})
}

func TestRunNeedsMembersAndSeconds(t *testing.T) {
	for _, cfg := range []Config{{Seconds: 1}, {Members: []int{3}}} {
		_, err := Run(context.Background(), cfg)
		qt.Check(t, err, qt.ErrorMatches, "plan: .*")
	}
}

func TestFit(t *testing.T) {
	c := qt.New(t)
	line := func(members ...int) []Point {
		var points []Point
		for _, n := range members {
			points = append(points, Point{Members: n, CorePercent: 0.01*float64(n) + 0.5})
		}
		return points
	}
	cases := []struct {
		name                     string
		points                   []Point
		slope, intercept, atPlan float64
		measured, within         bool
	}{
		{"line", line(100, 200, 300), 0.01, 0.5, 4.6, false, false},
		{"one point", line(100), 0, 1.5, 1.5, false, true},
		{"measured at the planned size", append(line(100), Point{Members: PlannedMembers, CorePercent: 1.7}), 0.000645, 1.435, 1.7, true, true},
	}
	for _, tc := range cases {
		r := Report{Points: tc.points}
		r.fit()
		for _, fit := range r.Fits {
			if fit.Figure != "processor, % of a core" {
				continue
			}
			c.Check(fmt.Sprintf("%.3g %.3g %.3g", fit.Slope, fit.Intercept, fit.AtPlan), qt.Equals,
				fmt.Sprintf("%.3g %.3g %.3g", tc.slope, tc.intercept, tc.atPlan), qt.Commentf(tc.name))
			c.Check(fit.Measured, qt.Equals, tc.measured)
			c.Check(fit.Within, qt.Equals, tc.within)
		}
	}
}

func TestCountingTableReportsMeanAndPeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newCountingTable(standin.NewTable(1))
		ctx := context.Background()
		read := func() {
			_, _, err := table.Get(ctx, "a")
			c.Assert(err, qt.IsNil)
		}
		_, err := table.Commit(ctx, infra.Write{Key: "a", Expect: infra.ExpectAny})
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		start := time.Now()
		for range 10 {
			read()
			time.Sleep(time.Second)
		}
		for range 30 {
			read()
			time.Sleep(10 * time.Millisecond)
		}
		_, err = table.Scan(ctx, "a")
		c.Assert(err, qt.IsNil)
		time.Sleep(9700 * time.Millisecond)
		mean, peak := table.since(start)
		c.Assert(peak, qt.Equals, tableLoad{Reads: 31, Rows: 31})
		c.Assert(mean, qt.Equals, tableLoad{Reads: 2.05, Rows: 2.05})
	})
}
