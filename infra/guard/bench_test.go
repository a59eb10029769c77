package guard

import (
	"testing"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// BenchmarkCommit measures the overhead of the guard over the bare table.
func BenchmarkCommit(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		name := "table"
		var table infra.Table = standin.NewTable(1)
		if guarded {
			name, table = "guarded", New(table, Options{WritesPerSecond: 1e9})
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if err := put(b.Context(), table, infra.PriorityOnce); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
