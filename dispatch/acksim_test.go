package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// ackOwner is an owner of the domain in an ackSim.
type ackOwner struct {
	*rig // with the rows and the time of the simulation
	// batch is that of the commit in flight, nil if there is none; applied is set once the
	// store has applied it, answeredAt is when its answer arrives.
	batch      *dispatch.Batch
	applied    bool
	began      time.Time
	answeredAt time.Time
	// endsAt is when a replaced owner stops, zero before it is replaced.
	endsAt time.Time
}

// ackSim checks that a worker forgets no end that the committed rows don't hold, while
// owners replace each other, commits are late or lost, renewals are carried out late or
// answered late, and the worker starts again under its ID.
type ackSim struct {
	t      *testing.T
	random *rand.Rand
	owners []*ackOwner // the last one owns the domain
	life   *testLife
	// token is the highest that the life has seen, highest that any life has.
	token, highest uint64
	lives          int
	jobs           int
	// later holds what happens later.
	later []laterEvent
	// forgotten counts the ends that were checked.
	forgotten int
}

// laterEvent happens at a given time.
type laterEvent struct {
	at time.Time
	do func()
}

func newAckSim(t *testing.T, seed uint64) *ackSim {
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}}
	r.startedAt = r.now
	r.startOwner(1)
	s := &ackSim{t: t, random: rand.New(rand.NewPCG(seed, 5)), owners: []*ackOwner{{rig: r}}}
	s.startLife()
	return s
}

func (s *ackSim) owner() *ackOwner { return s.owners[len(s.owners)-1] }

func (s *ackSim) chance(share float64) bool { return s.random.Float64() < share }

// after makes something happen within a duration.
func (s *ackSim) after(most time.Duration, do func()) {
	at := s.owner().now.Add(time.Duration(s.random.Int64N(int64(most))))
	s.later = append(s.later, laterEvent{at, do})
}

// startLife starts the worker, again if it has been started.
func (s *ackSim) startLife() {
	s.lives++
	s.life, s.token = newTestLife(s.owner().rig, runner.Incarnation(s.lives)), 0
}

// accepts reports whether the worker carries out an order with a token.
func (s *ackSim) accepts(token uint64) bool {
	if token < s.token {
		return false
	}
	s.token, s.highest = token, max(s.highest, token)
	return true
}

// step simulates one tick.
func (s *ackSim) step() {
	now := s.owner().now.Add(testTick)
	for _, o := range s.owners {
		o.now = now
	}
	s.life.now = now
	due := s.later
	s.later = nil
	for _, e := range due {
		if now.Before(e.at) {
			s.later = append(s.later, e)
		} else {
			e.do()
		}
	}
	if s.chance(0.01) {
		s.startLife()
	}
	if s.chance(0.01) {
		s.replaceOwner()
	}
	for len(s.life.active) > 0 && s.chance(0.4) {
		s.endOne()
	}
	for i, o := range slices.Clone(s.owners) {
		if i == len(s.owners)-1 || now.Before(o.endsAt) {
			s.act(o)
		}
	}
}

// endOne ends one run.
func (s *ackSim) endOne() {
	i := s.random.IntN(len(s.life.active))
	a := s.life.active[i]
	s.life.active = slices.Delete(s.life.active, i, i+1)
	s.life.lastEnd++
	kind := runner.EndDone
	if s.chance(0.1) {
		kind = runner.EndFailed
	}
	s.life.ends = append(s.life.ends, runner.RunEnd{Number: s.life.lastEnd, Task: a.Task, Run: a.Run, Kind: kind})
}

// replaceOwner lets another host take the domain over. The replaced owner goes on for a while.
func (s *ackSim) replaceOwner() {
	old := s.owner()
	old.endsAt = old.now.Add(2 * time.Second)
	next := *old.rig
	o := &ackOwner{rig: &next}
	s.owners = append(s.owners, o)
	o.startOwner(old.epoch + 1)
	o.restore(o.roster()...)
	o.epochsKnown = false
}
