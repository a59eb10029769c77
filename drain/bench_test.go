package drain_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// BenchmarkHostList decodes a host list of the planned size and updates a Set
// from it.
func BenchmarkHostList(b *testing.B) {
	const replicas, domains = 2900, 12
	hosts := make([]infra.Host, replicas)
	for i := range hosts {
		hosts[i] = host(fmt.Sprintf("host-%04d", i), "3f6c1c0e", fmt.Sprintf("domain-%02d", i%domains), infra.HostLive)
		hosts[i].Region, hosts[i].Class, hosts[i].Reclaimable, hosts[i].PricePerHour = "region-1", "accelerator-2", true, 3.25
		hosts[i].Endpoints = []infra.Endpoint{{
			ID: fmt.Sprintf("engine-%04d", i), Kind: infra.KindEngine, Addr: "10.1.2.3:8000", Name: "karoo-lm", Version: "2026.1",
		}}
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		b.Fatal(err)
	}
	set := drain.NewSet(quietLog())
	b.ReportAllocs()
	for b.Loop() {
		var list []infra.Host
		if err := json.Unmarshal(body, &list); err != nil {
			b.Fatal(err)
		}
		set.UpdateHosts(list)
	}
	b.ReportMetric(float64(len(body)), "JSON-bytes")
}
