package randomised

import (
	"context"
	"math/rand/v2"
	"time"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	infrastandin "github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// hostListLag is the delay of the host list when no fault is injected.
const hostListLag = 500 * time.Millisecond

// drawPlatformFaults draws up to three more faults: of the platform's other
// services, of the reports of engines, and of two operators who approve at the
// same time. It uses a random source of its own, so that it doesn't change what
// drawFaults draws for a seed.
func drawPlatformFaults(seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, 78))
	var out []fault
	for range rng.IntN(4) {
		f := platformFaults[rng.IntN(len(platformFaults))]
		f.at = time.Duration(rng.Int64N(int64(loadDuration - 5*time.Second)))
		f.duration = time.Second + time.Duration(rng.Int64N(int64(9*time.Second)))
		out = append(out, f)
	}
	return out
}

var platformFaults = []fault{
	platformFault("hosts refused", func(f *infrastandin.Faults) { f.Cloud.RefuseAll = true }),
	platformFault("cloud API down", func(f *infrastandin.Faults) { f.Cloud.Outage = true }),
	platformFault("notices twice", func(f *infrastandin.Faults) { f.Cloud.NoticeTwice = true }),
	platformFault("notices late", func(f *infrastandin.Faults) { f.Cloud.NoticeDelay = 3 * time.Second }),
	platformFault("notices lost", func(f *infrastandin.Faults) { f.Cloud.NoticeLost = true }),
	platformFault("hosts taken early", func(f *infrastandin.Faults) { f.Cloud.ReclaimDelay = -5 * time.Second }),
	platformFault("host list down", func(f *infrastandin.Faults) { f.HostList.Outage = true }),
	platformFault("host list lags", func(f *infrastandin.Faults) { f.HostList.Lag = 5 * time.Second }),
	platformFault("object store down", func(f *infrastandin.Faults) { f.Objects.Outage = true }),
	platformFault("object store loses answers", func(f *infrastandin.Faults) { f.Objects.LoseAnswer = 0.3 }),
	platformFault("weight store down", func(f *infrastandin.Faults) { f.WeightStore.Outage = true }),
	platformFault("weight store slow", func(f *infrastandin.Faults) { f.WeightStore.LoadsPerMinute = 2 }),
	engineFault("cache events lost and late", func(f *enginestandin.EngineFaults) { f.LoseEvent, f.EventLag = 0.3, 3*time.Second })(nil),
	engineFault("load reports late", func(f *enginestandin.EngineFaults) { f.LoadLag = 3 * time.Second })(nil),
	engineFault("orders refused", func(f *enginestandin.EngineFaults) { f.RefuseOrders = true })(nil),
	engineFault("engines hang", func(f *enginestandin.EngineFaults) { f.Hang = true })(nil),
	{name: "two operators approve", do: approveTwice, undo: noop},
}

func platformFault(name string, set func(*infrastandin.Faults)) fault {
	return fault{
		name: name,
		do: func(c *testCluster) {
			f := c.deployment.Standins.Platform.Faults()
			set(&f)
			c.deployment.Standins.Platform.SetFaults(f)
		},
		undo: func(c *testCluster) {
			f := c.deployment.Standins.Platform.Faults()
			f.Cloud = infrastandin.CloudFaults{}
			f.HostList = infrastandin.HostListFaults{Lag: hostListLag}
			f.Objects = infrastandin.ObjectFaults{}
			f.WeightStore = infrastandin.WeightStoreFaults{}
			c.deployment.Standins.Platform.SetFaults(f)
		},
	}
}

// approveTwice approves two edits of the same template version concurrently, as
// two operators would. At most one may succeed.
func approveTwice(c *testCluster) {
	store := template.NewStore(c.deployment.Standins.Platform.Table, template.StoreOptions{})
	head, err := store.Head(context.Background(), "test")
	if err != nil {
		return
	}
	results := make(chan error, 2)
	for i := range 2 {
		go func() {
			t := testTemplate()
			t.Customers[1].Share = float64(2 + i)
			_, err := store.Publish(context.Background(), head.Version, "operator", t)
			results <- err
		}()
	}
	if first, second := <-results, <-results; first == nil && second == nil {
		c.t.Errorf("two operators both approved an edit of template version %d", head.Version)
	}
}
