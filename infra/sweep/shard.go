package sweep

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// shards is the number of parts that Shard spreads rows over.
const shards = 256

// Shard returns the part of a key under prefix that name belongs to, ending in
// "/". Rows that are swept have it at the front of their keys.
func Shard(prefix, name string) string { return shard(prefix, xxhash.Sum64String(name)%shards) }

// Shards returns all parts under prefix.
func Shards(prefix string) []string {
	all := make([]string, shards)
	for i := range all {
		all[i] = shard(prefix, uint64(i))
	}
	return all
}

func shard(prefix string, n uint64) string { return fmt.Sprintf("%s%02x/", prefix, n) }
