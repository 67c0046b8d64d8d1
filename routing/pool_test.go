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
	v := &ownership.Snapshot{Grants: map[string]ownership.Grant{}}
	for _, s := range shards {
		v.Grants[s] = ownership.Grant{Shard: s, Share: share, ShareAfter: after, Until: until}
	}
	return v
}

func ep(name string, slots int) Endpoint {
	return Endpoint{Name: name, Service: "s", Zone: "z", Shard: name, Slots: slots, Connections: 8 * slots}
}

func newPool(endpoints ...Endpoint) *Pool {
	p := NewPool(DefaultConfig("z"))
	p.SetEndpoints(t0, endpoints)
	return p
}

// TestPoolNeverExceeds drives a pool with any order of events and checks that
// no endpoint gets more than its grant, its window and its state allow.
func TestPoolNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		names := []string{"a", "b", "c"}
		list := make([]Endpoint, 0, len(names))
		for _, n := range names {
			e := ep(n, rapid.IntRange(1, 9).Draw(t, "slots"))
			e.Connections = rapid.IntRange(2, 40).Draw(t, "connections")
			list = append(list, e)
		}
		p := newPool(list...)
		view := grants(ownership.Full, ownership.Full, t0, names...)
		var held []*Slot
		check := func(s *Slot) {
			b := s.backend
			allowed := view.Grants[b.Shard].At(now).Of(b.UsableSlots())
			if b.Leaving || b.inUse > allowed || b.inUse > b.Connections/2 || b.writing > WriteWindow(b.UsableSlots()) {
				t.Fatalf("%+v of %d allowed", *b, allowed)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) {
				if s := p.Acquire(now, "s", view, rng()); s != nil {
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
				view = grants(share, ownership.Share(rapid.IntRange(0, 2).Draw(t, "after")), now.Add(time.Second), names...)
			},
			"leave": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "i")
				list[i].Leaving = rapid.Bool().Draw(t, "leaving")
				p.SetEndpoints(now, list[rapid.IntRange(0, 2).Draw(t, "from"):])
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
					t.Fatalf("%d in use, %d held", total, len(held))
				}
			},
		})
	})
}

// TestPausedOwnerStaysWithinCapacity lets an owner pause with as many requests
// between check and write as it may have, and wake when a successor uses its
// half.
func TestPausedOwnerStaysWithinCapacity(t *testing.T) {
	for slots := 1; slots <= 9; slots++ {
		old, next := newPool(ep("a", slots)), newPool(ep("a", slots))
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

func TestMayWriteAsksTheGrantAgain(t *testing.T) {
	p := newPool(ep("a", 2))
	view := grants(ownership.Full, ownership.None, t0.Add(time.Second), "a")
	s := p.Acquire(t0, "s", view, rng())
	if !p.MayWrite(t0, s, view) || p.MayWrite(t0.Add(time.Second), s, view) {
		t.Error("the grant's end is not seen before the write")
	}
}

func TestSlowStart(t *testing.T) {
	p := newPool(ep("a", 8))
	p.SetEndpoints(t0, []Endpoint{ep("a", 8), ep("b", 8)})
	view := grants(ownership.Full, ownership.Full, t0, "a", "b")
	b := p.byName["b"]
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {2500 * time.Millisecond, 4}, {5 * time.Second, 8}} {
		if got := b.limit(t0.Add(c.after), p.allowed(t0, b, view), p.cfg.SlowStart); got != c.want {
			t.Errorf("after %v: %d, want %d", c.after, got, c.want)
		}
	}
}

// TestEjectionLeavesEnough fails every request of every endpoint: no more than
// half may be ejected.
func TestEjectionLeavesEnough(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	var list []Endpoint
	for _, n := range names {
		list = append(list, ep(n, 2))
	}
	p := newPool(list...)
	view := grants(ownership.Full, ownership.Full, t0, names...)
	r := rng()
	for range 500 {
		s := p.Acquire(t0, "s", view, r)
		p.Observe(t0, s, Result{Failed: true})
		p.Release(s)
	}
	if n := p.Ejected(t0); n != 2 {
		t.Errorf("%d of 5 ejected, want 2", n)
	}
	if p.Ejected(t0.Add(time.Minute)) != 0 {
		t.Error("ejection does not end")
	}
}
