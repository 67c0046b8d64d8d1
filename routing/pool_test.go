package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflygate/fireflygate/ownership"
)

var t0 = time.Unix(1_000_000, 0)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func grants(share, after ownership.Share, until time.Time, shards ...string) *ownership.Snapshot {
	snapshot := &ownership.Snapshot{Grants: map[string]ownership.Grant{}}
	for _, s := range shards {
		snapshot.Grants[s] = ownership.Grant{Shard: s, Share: share, ShareAfter: after, Until: until}
	}
	return snapshot
}

func testEndpoint(name string, slots int) Endpoint {
	return Endpoint{Name: name, Service: "s", Zone: "z", Shard: name, Slots: slots, Connections: 8 * slots}
}

func newPool(endpoints ...Endpoint) *Pool {
	p := NewPool(DefaultConfig("z"))
	p.SetEndpoints(t0, endpoints)
	return p
}

// TestPoolNeverExceeds applies random operations to a pool and checks that no
// endpoint exceeds its grant, its write window and its connections.
func TestPoolNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		names := []string{"a", "b", "c"}
		list := make([]Endpoint, 0, len(names))
		for _, n := range names {
			e := testEndpoint(n, rapid.IntRange(1, 9).Draw(t, "slots"))
			e.Connections = rapid.IntRange(2, 40).Draw(t, "connections")
			list = append(list, e)
		}
		p := newPool(list...)
		snapshot := grants(ownership.Full, ownership.Full, t0, names...)
		var held []*Slot
		check := func(s *Slot) {
			b := s.backend
			allowed := snapshot.Grants[b.Shard].At(now).Of(b.UsableSlots())
			if b.Leaving || b.inUse > allowed || b.inUse > b.Connections/2 || b.writing > WriteWindow(b.UsableSlots()) {
				t.Fatalf("endpoint exceeds its limits: %+v, %d slots allowed", *b, allowed)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) {
				if s := p.Acquire(now, "s", snapshot, rng()); s != nil {
					check(s)
					held = append(held, s)
				}
			},
			"write": func(t *rapid.T) {
				if len(held) > 0 {
					p.WriteDone(held[rapid.IntRange(0, len(held)-1).Draw(t, "i")])
				}
			},
			"release": func(t *rapid.T) {
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "i")
					p.Release(held[i])
					p.Release(held[i])
					held = append(held[:i], held[i+1:]...)
				}
			},
			"result": func(t *rapid.T) {
				if len(held) > 0 {
					p.Observe(now, held[0], Result{Sent: true, Failed: rapid.Bool().Draw(t, "failed")})
				}
			},
			"grant": func(t *rapid.T) {
				share := ownership.Share(rapid.IntRange(0, 2).Draw(t, "share"))
				snapshot = grants(share, ownership.Share(rapid.IntRange(0, 2).Draw(t, "after")), now.Add(time.Second), names...)
			},
			"leave": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "i")
				list[i].Leaving = rapid.Bool().Draw(t, "leaving")
				p.SetEndpoints(now, list[rapid.IntRange(0, 2).Draw(t, "from"):])
			},
			"move": func(t *rapid.T) {
				list[rapid.IntRange(0, 2).Draw(t, "i")].Address = rapid.SampledFrom(names).Draw(t, "address")
				p.SetEndpoints(now, list)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				total := 0
				for _, b := range p.byName {
					total += b.inUse
				}
				if total != len(held) {
					t.Fatalf("pool counts %d slots in use, want the %d acquired", total, len(held))
				}
			},
		})
	})
}

// TestPausedOwnerStaysWithinCapacity pauses an owner with as many requests
// between check and write as possible, and checks that these and a successor's
// half stay within the capacity.
func TestPausedOwnerStaysWithinCapacity(t *testing.T) {
	for slots := 1; slots <= 9; slots++ {
		old, next := newPool(testEndpoint("a", slots)), newPool(testEndpoint("a", slots))
		full := grants(ownership.Full, ownership.Half, t0.Add(time.Second), "a")
		half := grants(ownership.Half, ownership.Half, t0.Add(time.Hour), "a")
		written, successor := 0, 0
		for s := old.Acquire(t0, "s", full, rng()); s != nil; s = old.Acquire(t0, "s", full, rng()) {
			if old.MayWrite(t0, s, full) {
				written++
			}
		}
		for s := next.Acquire(t0, "s", half, rng()); s != nil; s = next.Acquire(t0, "s", half, rng()) {
			next.WriteDone(s)
			successor++
		}
		if written == 0 || written+successor > slots {
			t.Errorf("%d slots: paused owner wrote %d, successor %d", slots, written, successor)
		}
	}
}

func TestMayWriteChecksGrantAgain(t *testing.T) {
	p := newPool(testEndpoint("a", 2))
	snapshot := grants(ownership.Full, ownership.None, t0.Add(time.Second), "a")
	s := p.Acquire(t0, "s", snapshot, rng())
	if !p.MayWrite(t0, s, snapshot) || p.MayWrite(t0.Add(time.Second), s, snapshot) {
		t.Error("want a write allowed before the grant expires and refused after")
	}
}

func TestSlowStart(t *testing.T) {
	p := newPool(testEndpoint("a", 8))
	p.SetEndpoints(t0, []Endpoint{testEndpoint("a", 8), testEndpoint("b", 8)})
	snapshot := grants(ownership.Full, ownership.Full, t0, "a", "b")
	b := p.byName["b"]
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {2500 * time.Millisecond, 4}, {5 * time.Second, 8}} {
		if got := b.limit(t0.Add(c.after), p.allowed(t0, b, snapshot), p.cfg.SlowStart); got != c.want {
			t.Errorf("after %v: limit of %d slots, want %d", c.after, got, c.want)
		}
	}
}

// TestEjectionLeavesEnough fails every request to every endpoint, and checks
// that at most half of the endpoints are ejected.
func TestEjectionLeavesEnough(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	var list []Endpoint
	for _, n := range names {
		list = append(list, testEndpoint(n, 2))
	}
	p := newPool(list...)
	snapshot := grants(ownership.Full, ownership.Full, t0, names...)
	r := rng()
	for range 500 {
		s := p.Acquire(t0, "s", snapshot, r)
		p.Observe(t0, s, Result{Failed: true})
		p.Release(s)
	}
	if n := p.Ejected(t0); n != 2 {
		t.Errorf("%d of 5 ejected, want 2", n)
	}
	if p.Ejected(t0.Add(time.Minute)) != 0 {
		t.Error("endpoints still ejected after a minute")
	}
}
