package quota

import (
	"maps"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Division is the table's word on one team: what each shard may hold of its
// quota. No owner holds more than its shard's bound.
type Division struct {
	Bounds map[string]Amount `msgpack:"b"`
}

// Next returns the division that follows from the reports of owners, and what
// each shard is to come down to. A shard that did not report keeps its bound
// and is taken to use all of it.
//
// A bound comes down only to what its owner reports to hold, and goes up only
// by what then no bound covers; so the sum stays within the quota.
func (d Division) Next(q Amount, reports map[string]Report) (next Division, targets map[string]Amount) {
	names := d.shards(reports)
	milliCPU := d.column(q.MilliCPU, names, reports, milliCPUOf)
	memoryMB := d.column(q.MemoryMB, names, reports, memoryMBOf)
	next = Division{Bounds: make(map[string]Amount, len(names))}
	targets = make(map[string]Amount, len(names))
	for i, name := range names {
		targets[name] = Amount{MilliCPU: milliCPU.targets[i], MemoryMB: memoryMB.targets[i]}
		next.Bounds[name] = Amount{MilliCPU: milliCPU.bounds[i], MemoryMB: memoryMB.bounds[i]}
	}
	return next, targets
}

// Equal reports whether both give each shard the same.
func (d Division) Equal(o Division) bool { return maps.Equal(d.Bounds, o.Bounds) }

// Lowered returns the shards that get less in next, in order.
func (d Division) Lowered(next Division) []string {
	var out []string
	for name, was := range d.Bounds {
		is := next.Bounds[name]
		if lower(is.MilliCPU, was.MilliCPU) || lower(is.MemoryMB, was.MemoryMB) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func lower(is, was int64) bool { return is >= 0 && is < was }

// shards returns the names of all shards that have a bound or a report.
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

// column is the division of one resource.
type column struct {
	bounds  []int64
	targets []int64
}

// resource reads one resource of each kind of amount.
type resource struct {
	amount func(Amount) int64
	of     func(infra.Resources) int64
}

var (
	milliCPUOf = resource{
		amount: func(a Amount) int64 { return a.MilliCPU },
		of:     func(r infra.Resources) int64 { return r.MilliCPU },
	}
	memoryMBOf = resource{
		amount: func(a Amount) int64 { return a.MemoryMB },
		of:     func(r infra.Resources) int64 { return r.MemoryMB },
	}
)

func (d Division) column(quota int64, names []string, reports map[string]Report, get resource) column {
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
	c := column{bounds: make([]int64, len(names)), targets: Divide(quota, shards)}
	for i, s := range shards {
		c.bounds[i] = max(s.Held, c.targets[i])
	}
	return c
}

// unlimited is the column of a resource without a quota.
func unlimited(n int) column {
	c := column{bounds: make([]int64, n)}
	for i := range c.bounds {
		c.bounds[i] = Unlimited
	}
	c.targets = c.bounds
	return c
}
