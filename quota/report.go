package quota

import "github.com/fireflygate/fireflygate/infra"

// Report is what a shard's owner says of one team there.
type Report struct {
	// Capacity is what the shard's hosts hold in all.
	Capacity infra.Resources `msgpack:"c"`
	// Used is what the team reserves there.
	Used infra.Resources `msgpack:"u"`
	// Demand is what its pending jobs ask for besides.
	Demand infra.Resources `msgpack:"d"`
	// Held is the bound that the owner keeps to from now on, until it learns
	// of a newer division.
	Held Amount `msgpack:"h"`
}
