package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestMovesWithinAllowance makes three workers slow. Their tasks must move, one at a time
// with an allowance of one, and none without an allowance or while another task of the
// step is away because its worker doesn't answer.
func TestMovesWithinAllowance(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget int
		silent int
		want   int
	}{
		{"no limit", -1, 0, 3},
		{"one", 1, 0, 3},
		{"none", 0, 0, 0},
		{"one, of which one is away", 1, 1, 0},
		{"two, of which one is away", 2, 1, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newServingPool(t, 20, 16, func(s *workload.Step) { s.DisruptionBudget = c.budget })
			p.makeSlow(3)
			for _, id := range p.busy()[16-c.silent:] {
				p.silent[id] = true
			}
			for range 16 {
				before := len(p.at)
				stops := len(p.tick())
				if away := 16 - before; c.budget >= 0 && stops > 0 && stops+away+c.silent > c.budget {
					t.Fatalf("%d stops while %d tasks are away, with an allowance of %d", stops, away+c.silent, c.budget)
				}
			}
			if p.moved != c.want {
				t.Errorf("%d moves, want %d", p.moved, c.want)
			}
			for id := range p.slow {
				if _, there := p.at[id]; there && c.want > 0 {
					t.Errorf("a task is on slow worker %s", id)
				}
			}
		})
	}
}

// TestNothingMovesIfRestIsFull makes a quarter of the workers slow while no other has room.
// Nothing may move: a stop would only cost time.
func TestNothingMovesIfRestIsFull(t *testing.T) {
	p := newServingPool(t, 16, 16)
	p.makeSlow(4)
	p.ticks(16)
	if got := p.found(); len(got) != 4 {
		t.Fatalf("found %v, want the four slow workers", got)
	}
	if p.moved > 0 {
		t.Errorf("%d tasks were moved though no other worker has room", p.moved)
	}
}

// TestRecoveryWhileTasksMove lets slow workers recover while the first of their tasks
// moves. That move must finish, no other may begin, and the workers must be used again.
func TestRecoveryWhileTasksMove(t *testing.T) {
	p := newServingPool(t, 20, 16, func(s *workload.Step) { s.DisruptionBudget = 1 })
	p.makeSlow(4)
	for p.moved == 0 {
		p.tick()
		if p.sinceStart() > time.Minute {
			t.Fatal("no task was moved off slow workers")
		}
	}
	clear(p.slow)
	moved := p.moved
	p.ticks(16)
	if p.moved != moved {
		t.Errorf("%d moves began after the workers recovered", p.moved-moved)
	}
	if len(p.at) != 16 {
		t.Errorf("%d of 16 tasks run after the moves", len(p.at))
	}
	if sum := p.state.AttributeTime(p.now); sum.SlowWorkers != 0 {
		t.Errorf("%d workers count as slow after their recovery", sum.SlowWorkers)
	}
}

// TestNewOwnerLearnsPace replaces the owner while a worker is slow. The new one must find
// the worker slow from its reports, and stop no task before.
func TestNewOwnerLearnsPace(t *testing.T) {
	p := newServingPool(t, 16, 16)
	slow := p.makeSlow(1)
	p.ticks(10)
	if got := p.found(); !slices.Equal(got, []string{slow[0] + " slow"}) {
		t.Fatalf("found %v, want %s slow", got, slow[0])
	}
	p.flush()
	p.takeOver(p.roster()...)
	p.members(p.workers)
	for range 16 {
		p.tick()
		if got := p.found(); len(got) > 0 {
			if !slices.Equal(got, []string{slow[0] + " slow"}) {
				t.Errorf("the new owner found %v, want %s slow", got, slow[0])
			}
			return
		}
	}
	t.Error("the new owner did not find the slow worker in 16 reports")
}

// TestReturnedIncarnation restarts a slow worker. Its next incarnation must not count as
// slow.
func TestReturnedIncarnation(t *testing.T) {
	p := newServingPool(t, 16, 16)
	slow := p.makeSlow(1)[0]
	p.ticks(10)
	if sum := p.state.AttributeTime(p.now); sum.SlowWorkers != 1 {
		t.Fatalf("%d workers count as slow, want 1", sum.SlowWorkers)
	}
	p.state.HandleRestart(p.now, slow)
	delete(p.at, slow)
	delete(p.slow, slow)
	var list []runner.Worker
	for i := range p.workers {
		info := workerInfo(worker(i))
		if info.ID == slow {
			info.ID += "-again"
		}
		list = append(list, info)
	}
	p.state.SetMembers(p.now, list)
	p.flush()
	p.report(slow+"-again", nil, nil)
	p.state.Plan(p.now.Add(testTick))
	if sum := p.state.AttributeTime(p.now); sum.SlowWorkers != 0 {
		t.Errorf("%d workers count as slow after the restart, want none", sum.SlowWorkers)
	}
}

// TestFiguresOutOfRange reports progress outside 0 to 100 percent and negative figures.
// They must be ignored and recorded once for the worker, and no worker may count as slow.
func TestFiguresOutOfRange(t *testing.T) {
	p := newServingPool(t, 8, 8)
	id := p.busy()[0]
	for i := range 20 {
		p.advance(100 * time.Millisecond)
		a := withTail(p.at[id], normalTailMS+int64(i))
		switch i % 3 {
		case 0:
			a.Percent = 101 + i
		case 1:
			a.Percent = -1 - i
		case 2:
			a.Usage = -1000 - int64(i)
		}
		p.report(id, []runner.ActiveRun{a}, nil)
		p.state.Plan(p.now)
	}
	if got, want := p.found(), []string{id + " figures out of range"}; !slices.Equal(got, want) {
		t.Errorf("found %v, want %v", got, want)
	}
	if sum := p.state.AttributeTime(p.now); sum.OverTarget != 0 || sum.SlowWorkers != 0 {
		t.Errorf("%d tails over target and %d slow workers after figures out of range", sum.OverTarget, sum.SlowWorkers)
	}
}

// TestAllWorkersSlowMovesNothing slows all workers down alike. No task may move: no worker
// is better.
func TestAllWorkersSlowMovesNothing(t *testing.T) {
	p := newServingPool(t, 20, 16)
	p.makeSlow(16)
	p.ticks(20)
	if got := p.found(); len(got) > 0 || p.moved > 0 {
		t.Errorf("found %v and moved %d tasks though all workers are slow", got, p.moved)
	}
}

// dayOrders returns all orders of a day with slow workers, as text.
func dayOrders(t *testing.T, workerPace, disabled bool) []string {
	r := paceRig(t, 0)
	r.workerPace = workerPace
	if disabled {
		r = paceRig(t, mechanismPace)
		r.workerPace = workerPace
	}
	b := newBurstOn(r, 3)
	var orders []string
	b.watch = func(p dispatch.Plan) {
		first := len(orders)
		defer func() { slices.Sort(orders[first:]) }() // stops and CPU limits of a plan have no order
		for _, o := range p.Starts {
			orders = append(orders, fmt.Sprint(b.now.Sub(b.startedAt), " start ", o.Worker.ID, o.Start))
		}
		for _, o := range p.Stops {
			orders = append(orders, fmt.Sprint(b.now.Sub(b.startedAt), " stop ", o.Worker.ID, o.Stop, o.Cause))
		}
		for _, o := range p.CPULimits {
			orders = append(orders, fmt.Sprint(b.now.Sub(b.startedAt), " limit ", o.Worker.ID, o.CPULimit))
		}
	}
	for i := range 25 {
		if i == 8 {
			for w := range paceSlowWorkers {
				b.workers[worker(4*w)].slowdown = paceSlowdown
			}
		}
		b.submitBestEffort(fmt.Sprint("batch", i))
		b.run(time.Second)
	}
	return orders
}

// TestInactivePaceChangesNothing checks that all orders of a day with slow workers are the
// same without the setting and with the part disabled, and others with it.
func TestInactivePaceChangesNothing(t *testing.T) {
	before := dayOrders(t, false, false)
	if got := dayOrders(t, true, true); !slices.Equal(got, before) {
		t.Error("with the part disabled the orders differ from those without the setting")
	}
	if got := dayOrders(t, true, false); slices.Equal(got, before) {
		t.Error("the part changes no order of a day with slow workers")
	}
}

// TestDoubtfulWorkersArePolled checks that a worker is asked for a report twice a second from
// its first slow tail on, and others as before. Otherwise the three tails that are needed
// could take six seconds.
func TestDoubtfulWorkersArePolled(t *testing.T) {
	p := newServingPool(t, 16, 16)
	waitMS := func(id string) int64 {
		_, o, _ := p.state.Renewal(p.now, id, testLease)
		return o.WaitMS
	}
	slow := p.makeSlow(1)[0]
	for i := range 6 {
		p.tick()
		if got := waitMS(slow); got != 500 {
			t.Errorf("after %d slow tails the worker may hold its answer for %d ms, want 500", i+1, got)
		}
	}
	for _, id := range p.busy() {
		if got := waitMS(id); id != slow && got != 1500 {
			t.Errorf("normal worker %s may hold its answer for %d ms, want 1500", id, got)
		}
	}
	p.advance(700 * time.Millisecond)
	if got := p.state.EarlyPolls(p.now); !slices.Equal(got, []string{slow}) {
		t.Errorf("early polls of %v, want %s", got, slow)
	}
}

// TestMoveWaitsForReports checks that a task isn't moved while the reports that the others
// of its step serve are old: one of their workers may have failed since, and the move would
// exceed the allowance. The reports must be asked for.
func TestMoveWaitsForReports(t *testing.T) {
	p := newServingPool(t, 20, 16, func(s *workload.Step) { s.DisruptionBudget = 1 })
	slow := p.makeSlow(1)[0]
	for range 2 {
		p.tick()
	}
	p.advance(1400 * time.Millisecond)
	p.reportTail(slow) // the third slow tail
	for id := range p.at {
		if id == p.busy()[15] || id == slow {
			continue // its report is 1.4 s old
		}
		p.reportTail(id)
	}
	late := p.busy()[15]
	stops := func() int { return len(p.state.Plan(p.now).Stops) }
	p.state.Plan(p.now)
	if sum := p.state.AttributeTime(p.now); sum.SlowWorkers != 1 {
		t.Fatalf("%d workers count as slow, want 1", sum.SlowWorkers)
	}
	if n := stops(); n > 0 {
		t.Errorf("%d stops while the report of %s is 1.4 s old", n, late)
	}
	if polls := p.state.EarlyPolls(p.now); !slices.Contains(polls, late) {
		t.Errorf("early polls of %v, want %s among them", polls, late)
	}
	p.advance(50 * time.Millisecond)
	p.reportTail(late)
	if n := stops(); n != 1 {
		t.Errorf("%d stops once all others are known to serve, want 1", n)
	}
}

// TestLoadIsNotSlowness lets the tails of single tasks of a step, and of all tasks of one, grow
// because of their users. Without a peer on another worker, or with peers alike, that doesn't
// tell a load from a slow worker, and no task may be moved because of it.
func TestLoadIsNotSlowness(t *testing.T) {
	for name, p := range map[string]*servingPool{
		"one task a step": newServingJobs(t, 20, 16, 1), "two tasks a step": newServingJobs(t, 20, 8, 2),
	} {
		for id, o := range p.at {
			p.slow[id] = o.Start.Task.Job == "serving0"
		}
		p.ticks(20)
		if got := p.found(); len(got) > 0 || p.moved > 0 {
			t.Errorf("%s: found %v and moved %d tasks because of their load", name, got, p.moved)
		}
	}
}
