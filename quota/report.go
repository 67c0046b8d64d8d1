package quota

import "github.com/fireflygate/fireflygate/infra"

// Report is the report of a shard's owner on one team.
type Report struct {
	// Capacity is the total capacity of the shard's workers.
	Capacity infra.Resources `msgpack:"c"`
	// Used is the team's reservations in the shard.
	Used infra.Resources `msgpack:"u"`
	// Demand is the sum of the requests of the team's pending jobs.
	Demand infra.Resources `msgpack:"d"`
	// Held is the bound that the owner enforces until it receives a newer
	// division.
	Held Amount `msgpack:"h"`
}
