package gate

import "github.com/fireflygate/fireflygate/ownership"

// FullyOwnedShards returns the number of shards that this host owns and may use
// in full.
func (g *Gate) FullyOwnedShards() int {
	n := 0
	now := g.deps.Now()
	for _, grant := range g.ownershipDriver.Snapshot().Grants {
		if grant.At(now) == ownership.Full {
			n++
		}
	}
	return n
}

// ShardCount returns the number of shards of the membership list.
func (g *Gate) ShardCount() int { return len(g.roster.Load().Shards()) }
