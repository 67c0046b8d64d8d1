package gate

import "github.com/fireflygate/fireflygate/ownership"

// FullyOwnedShards returns how many shards this host may use in full now.
func (g *Gate) FullyOwnedShards() int {
	n := 0
	now := g.deps.Now()
	for _, grant := range g.keeper.Snapshot().Grants {
		if grant.At(now) == ownership.Full {
			n++
		}
	}
	return n
}

// Shards returns how many shards the membership list gives.
func (g *Gate) ShardCount() int { return len(g.roster.Load().Shards()) }
