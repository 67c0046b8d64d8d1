package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/fireflygate/fireflygate/infra"
)

const (
	modelQuota    = 5000
	divisionSeeds = 150
)

// modelShard is one shard in the model: what its present owner keeps.
type modelShard struct {
	fence     int
	allotment Allotment
	used      int64
	demand    int64
}

func (s *modelShard) work(rng *rand.Rand) {
	s.demand = rng.Int64N(2000)
	if rng.IntN(3) == 0 {
		s.used -= rng.Int64N(s.used + 1)
	}
	if room := s.allotment.Held().MilliCPU - s.used; room > 0 {
		s.used += min(s.demand, room)
	}
}

// tell is a word to an owner about one version of the division.
type tell struct {
	version uint64
	bound   Amount
	target  Amount
}

// model is a table with one division, the shards, and words that were under
// way; each of these may arrive again at any time.
type model struct {
	rng      *rand.Rand
	version  uint64
	division Division
	shards   []modelShard
	late     []tell
	lateTo   []int
	// noFence divides without regard to changes of owner.
	noFence bool
}

func (m *model) name(i int) string { return fmt.Sprint("s", i) }

// deliver has a word reach the shard's present owner and returns its report.
func (m *model) deliver(i int, w tell) Report {
	s := &m.shards[i]
	used := infra.Resources{MilliCPU: s.used}
	s.allotment.Apply(w.version, w.bound)
	s.allotment.Lower(w.target, used)
	return Report{
		Capacity: infra.Resources{MilliCPU: 3000}, Used: used,
		Demand: infra.Resources{MilliCPU: s.demand}, Held: s.allotment.Report(w.version),
	}
}

// round is one division by a host that may see others do the same meanwhile.
func (m *model) round(targets map[string]Amount, meanwhile func()) map[string]Amount {
	version, row := m.version, m.division
	reports, fences := map[string]Report{}, map[string]int{}
	for i := range m.shards {
		if m.rng.IntN(4) == 0 {
			continue
		}
		target, ok := targets[m.name(i)]
		if !ok {
			target = NewAmount(0, 0)
		}
		w := tell{version, row.Bounds[m.name(i)], target}
		m.late, m.lateTo = append(m.late, w), append(m.lateTo, i)
		reports[m.name(i)], fences[m.name(i)] = m.deliver(i, w), m.shards[i].fence
	}
	next, targets := row.Next(Amount{MilliCPU: modelQuota, MemoryMB: Unlimited}, reports)
	meanwhile()
	valid := m.version == version
	for _, name := range row.Lowered(next) {
		for i := range m.shards {
			valid = valid && (m.noFence || m.name(i) != name || m.shards[i].fence == fences[name])
		}
	}
	if valid && !next.Equal(row) {
		m.version++
		m.division = next
	}
	return targets
}

// fault has owners change, work go on and old words arrive.
func (m *model) fault() {
	for range len(m.shards) {
		i := m.rng.IntN(len(m.shards))
		switch m.rng.IntN(4) {
		case 0:
			m.shards[i].fence++
			m.shards[i].allotment = NewAllotment(m.version, m.division.Bounds[m.name(i)])
			m.shards[i].allotment.SetQuota(Amount{MilliCPU: modelQuota, MemoryMB: Unlimited})
		case 1:
			if n := len(m.late); n > 0 {
				k := n - 1 - m.rng.IntN(min(n, 20))
				m.deliver(m.lateTo[k], m.late[k])
			}
		default:
			m.shards[i].work(m.rng)
		}
	}
}

// most is the largest sum of what was reserved or held at any time.
func (m *model) run(seed uint64) (most int64) {
	m.rng = rand.New(rand.NewPCG(seed, 0))
	m.version = 1
	m.shards = make([]modelShard, 2+m.rng.IntN(8))
	for i := range m.shards {
		m.shards[i].allotment.SetQuota(Amount{MilliCPU: modelQuota, MemoryMB: Unlimited})
	}
	var a, b map[string]Amount
	for range 100 {
		a = m.round(a, func() {
			m.fault()
			if m.rng.IntN(3) == 0 {
				b = m.round(b, m.fault)
			}
		})
		m.fault()
		sum := int64(0)
		for i := range m.shards {
			sum += max(m.shards[i].used, m.shards[i].allotment.Held().MilliCPU)
		}
		most = max(most, sum)
	}
	return most
}

// TestDivisionNeverExceedsQuota has two hosts divide at once while owners
// change and words arrive late and twice. Without the condition on the shards'
// owners the same runs exceed the quota.
func TestDivisionNeverExceedsQuota(t *testing.T) {
	exceeded, full := 0, 0
	for seed := range uint64(divisionSeeds) {
		most := (&model{}).run(seed)
		if most > modelQuota {
			t.Fatalf("seed %d: %d of a quota of %d", seed, most, modelQuota)
		}
		if most > modelQuota*9/10 {
			full++
		}
		if (&model{noFence: true}).run(seed) > modelQuota {
			exceeded++
		}
	}
	t.Logf("%d of %d runs pressed the quota; %d exceeded it without the condition on owners", full, divisionSeeds, exceeded)
	if exceeded == 0 || full == 0 {
		t.Error("the check proves nothing")
	}
}

func TestUnlimitedResourceIsNotDivided(t *testing.T) {
	var d Division
	q := Amount{MilliCPU: 1000, MemoryMB: Unlimited}
	next, _ := d.Next(q, map[string]Report{"s": {Capacity: infra.Resources{MilliCPU: 1, MemoryMB: 1}}})
	if want := map[string]Amount{"s": {MilliCPU: 1000, MemoryMB: Unlimited}}; !maps.Equal(next.Bounds, want) {
		t.Errorf("%+v, want %+v", next.Bounds, want)
	}
	var a Allotment
	a.SetQuota(q)
	a.Apply(1, next.Bounds["s"])
	if a.Held() != next.Bounds["s"] {
		t.Errorf("held %+v", a.Held())
	}
	a.SetQuota(Amount{MilliCPU: 1000, MemoryMB: 1000})
	if got := a.Held().MemoryMB; got != 0 {
		t.Errorf("%d MB held of a new quota that was not divided yet", got)
	}
}
