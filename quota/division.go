package quota

import (
	"maps"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Division is the stored division of one team's quota among shards. An owner
// never holds more than its shard's bound.
type Division struct {
	Bounds map[string]Amount `msgpack:"b"`
}

// Next returns the next division, given the owners' reports, and the target that
// each shard is to lower its allotment to. A shard without a report keeps its
// bound, all of which counts as used.
//
// A bound is lowered only to the amount that its owner reports as held, and
// raised only by amounts that no bound covers then, so the sum of the bounds
// stays within the quota.
func (d Division) Next(q Amount, reports map[string]Report) (next Division, targets map[string]Amount) {
	names := d.shards(reports)
	milliCPU := d.resourceDivision(q.MilliCPU, names, reports, milliCPUAccessor)
	memoryMB := d.resourceDivision(q.MemoryMB, names, reports, memoryMBAccessor)
	next = Division{Bounds: make(map[string]Amount, len(names))}
	targets = make(map[string]Amount, len(names))
	for i, name := range names {
		targets[name] = Amount{MilliCPU: milliCPU.targets[i], MemoryMB: memoryMB.targets[i]}
		next.Bounds[name] = Amount{MilliCPU: milliCPU.bounds[i], MemoryMB: memoryMB.bounds[i]}
	}
	return next, targets
}

// Equal reports whether both divisions have the same bounds.
func (d Division) Equal(o Division) bool { return maps.Equal(d.Bounds, o.Bounds) }

// Lowered returns the sorted names of the shards with a lower bound in next.
func (d Division) Lowered(next Division) []string {
	var out []string
	for name, before := range d.Bounds {
		after := next.Bounds[name]
		if isLower(after.MilliCPU, before.MilliCPU) || isLower(after.MemoryMB, before.MemoryMB) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func isLower(after, before int64) bool { return after >= 0 && after < before }

// shards returns the sorted names of the shards with a bound or a report.
func (d Division) shards(reports map[string]Report) []string {
	names := slices.Collect(maps.Keys(d.Bounds))
	for name := range reports {
		if _, known := d.Bounds[name]; !known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// resourceDivision is the division of one resource, in the order of shard names.
type resourceDivision struct {
	bounds  []int64
	targets []int64
}

// resourceAccessor reads one resource from amounts and from resource vectors.
type resourceAccessor struct {
	amount func(Amount) int64
	of     func(infra.Resources) int64
}

var (
	milliCPUAccessor = resourceAccessor{
		amount: func(a Amount) int64 { return a.MilliCPU },
		of:     func(r infra.Resources) int64 { return r.MilliCPU },
	}
	memoryMBAccessor = resourceAccessor{
		amount: func(a Amount) int64 { return a.MemoryMB },
		of:     func(r infra.Resources) int64 { return r.MemoryMB },
	}
)

func (d Division) resourceDivision(quota int64, names []string, reports map[string]Report, get resourceAccessor) resourceDivision {
	shards := make([]Shard, len(names))
	for i, name := range names {
		r, reported := reports[name]
		if !reported {
			held := max(get.amount(d.Bounds[name]), 0)
			shards[i] = Shard{Used: held, Held: held}
			continue
		}
		shards[i] = Shard{
			Capacity: get.of(r.Capacity), Used: get.of(r.Used), Demand: get.of(r.Demand),
			Held: max(get.amount(r.Held), 0),
		}
	}
	if quota < 0 {
		return unlimited(len(names))
	}
	c := resourceDivision{bounds: make([]int64, len(names)), targets: Divide(quota, shards)}
	for i, s := range shards {
		c.bounds[i] = max(s.Held, c.targets[i])
	}
	return c
}

// unlimited returns the division of a resource without a quota among n shards.
func unlimited(n int) resourceDivision {
	c := resourceDivision{bounds: make([]int64, n)}
	for i := range c.bounds {
		c.bounds[i] = Unlimited
	}
	c.targets = c.bounds
	return c
}
