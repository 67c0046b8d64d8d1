package placement

import (
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/settings"
)

// team holds a team's usage and limits in the shard.
type team struct {
	weight float64
	used   infra.Resources
	// quota bounds the team in all shards together, allotment in this one.
	quota     quota.Amount
	allotment quota.Amount
}

// teams holds the teams by name; unknown ones have weight 1 and no quota.
type teams struct {
	byName map[string]*team
}

func newTeams(configured map[string]settings.Team) teams {
	t := teams{byName: map[string]*team{}}
	t.configure(configured)
	return t
}

// configure replaces weights and quotas; usage and allotments are kept.
func (t *teams) configure(configured map[string]settings.Team) {
	for _, entry := range t.byName {
		entry.weight, entry.quota = 1, quota.NewAmount(0, 0)
	}
	for name, c := range configured {
		entry := t.get(name)
		entry.quota = quota.NewAmount(c.MilliCPU, c.MemoryMB)
		if c.Weight > 0 {
			entry.weight = c.Weight
		}
	}
}

func (t *teams) get(name string) *team {
	entry, known := t.byName[name]
	if !known {
		entry = &team{weight: 1, quota: quota.NewAmount(0, 0), allotment: quota.NewAmount(0, 0)}
		t.byName[name] = entry
	}
	return entry
}

// share returns the team's dominant share of capacity divided by its weight.
func (t *teams) share(name string, capacity infra.Resources) float64 {
	entry := t.get(name)
	dominant := max(
		ratio(entry.used.MilliCPU, capacity.MilliCPU),
		ratio(entry.used.MemoryMB, capacity.MemoryMB),
		ratio(entry.used.Accelerators, capacity.Accelerators),
	)
	return dominant / entry.weight
}

// allows reports whether the team's quota and allotment allow it to reserve
// more.
func (t *teams) allows(name string, more infra.Resources) bool {
	entry := t.get(name)
	return entry.quota.Allows(entry.used, more) && entry.allotment.Allows(entry.used, more)
}

// ratio returns part divided by whole; 0 if whole isn't positive.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
