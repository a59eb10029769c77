package sweep

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards that Shard distributes rows over.
const shardCount = 256

// Shard returns the key prefix, ending in "/", of the shard under prefix that
// name belongs to. The keys of rows that are swept start with it.
func Shard(prefix, name string) string { return shard(prefix, xxhash.Sum64String(name)%shardCount) }

// Shards returns the key prefixes of all shards under prefix.
func Shards(prefix string) []string {
	all := make([]string, shardCount)
	for i := range all {
		all[i] = shard(prefix, uint64(i))
	}
	return all
}

func shard(prefix string, n uint64) string { return fmt.Sprintf("%s%02x/", prefix, n) }
