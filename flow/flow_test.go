package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/flow"
)

const (
	floor   = 300 * time.Millisecond
	ceiling = 2500 * time.Millisecond
)

// TestTimeoutFollowsRoundTrips waits for the floor while answers are quick, and
// for longer than they take once they are slow.
func TestTimeoutFollowsRoundTrips(t *testing.T) {
	for took, want := range map[time.Duration][2]time.Duration{
		5 * time.Millisecond:   {floor, floor},
		400 * time.Millisecond: {400 * time.Millisecond, time.Second},
		4 * time.Second:        {ceiling, ceiling},
	} {
		timeout := flow.Timeout{Min: floor, Max: ceiling}
		for range 50 {
			timeout.Answered(took)
		}
		if got := timeout.Value(); got < want[0] || got > want[1] {
			t.Errorf("waits %v for answers that take %v, want %v to %v", got, took, want[0], want[1])
		}
	}
}

// TestTimeoutTellsDelayFromLoss has a rack of workers never answer beside many
// that do, which changes nothing, and then all answers come after the time to
// wait: it has to grow beyond them, though none of them is ever measured.
func TestTimeoutTellsDelayFromLoss(t *testing.T) {
	timeout := flow.Timeout{Min: floor, Max: ceiling}
	for i := range 1000 {
		timeout.Answered(10 * time.Millisecond)
		if i%10 == 0 {
			timeout.TimedOut()
		}
	}
	if got := timeout.Value(); got != floor {
		t.Errorf("waits %v while one order in eleven is lost, want %v", got, floor)
	}
	const delay = 900 * time.Millisecond
	for range 200 {
		if timeout.Value() < delay {
			timeout.TimedOut()
		} else {
			timeout.Answered(delay)
		}
	}
	if got := timeout.Value(); got < delay {
		t.Errorf("waits %v for answers that take %v", got, delay)
	}
	for range 500 {
		timeout.Answered(10 * time.Millisecond)
	}
	if got := timeout.Value(); got != floor {
		t.Errorf("waits %v once answers are quick again, want %v", got, floor)
	}
}

// TestLimitKeepsTheDelay offers a link that carries 200 orders a second more
// work than that, and then less. Without a limit the delay would grow by a
// second each second.
func TestLimitKeepsTheDelay(t *testing.T) {
	const (
		perOrder = 5 * time.Millisecond // what the link takes for one
		target   = 100 * time.Millisecond
	)
	l := flow.NewLimit(target, 4, 512)
	now := time.Unix(1000, 0)
	var queue []time.Time // when each order under way was given
	served, late := 0, 0
	for range 4000 { // 20 s
		for l.Available() > 0 {
			l.Acquire()
			queue = append(queue, now)
		}
		now = now.Add(perOrder)
		took := now.Sub(queue[0])
		queue = queue[1:]
		l.Answered(now, took)
		served++
		if served > 1000 && took > 2*target {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d orders took over %v", late, served-1000, 2*target)
	}
	if room := l.Current(); room < 8 {
		t.Errorf("%d may be under way, too few to keep the link busy", room)
	}
}

// TestLimitGrowsBack lets more go out once answers are quick.
func TestLimitGrowsBack(t *testing.T) {
	l := flow.NewLimit(100*time.Millisecond, 4, 512)
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(time.Second)
		l.Acquire()
		l.Answered(now, time.Second)
	}
	if got := l.Current(); got != 4 {
		t.Fatalf("%d may be under way while each takes a second, want the least", got)
	}
	for range 30 {
		n := l.Available()
		for range n {
			l.Acquire()
		}
		now = now.Add(10 * time.Millisecond)
		for range n {
			l.Answered(now, 10*time.Millisecond)
		}
	}
	if got := l.Current(); got != 512 {
		t.Errorf("%d may be under way after 30 quick round trips, want the most", got)
	}
}

// TestLimitCountsEachOnce ends orders in all ways and in any order.
func TestLimitCountsEachOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := flow.NewLimit(100*time.Millisecond, 4, 64)
	now, open := time.Unix(1000, 0), 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		switch {
		case open == 0 || (l.Available() > 0 && random.IntN(2) == 0):
			l.Acquire()
			open++
		case random.IntN(4) == 0:
			l.Release()
			open--
		default:
			l.Answered(now, time.Duration(random.IntN(300))*time.Millisecond)
			open--
		}
		if l.InFlight() != open {
			t.Fatalf("%d under way, want %d", l.InFlight(), open)
		}
		if c := l.Current(); c < 4 || c > 64 {
			t.Fatalf("%d may be under way, want 4 to 64", c)
		}
	}
}

// TestGap asks at once while all is calm, less often the longer orders take, and
// never leaves a worker alone for long beside its lease.
func TestGap(t *testing.T) {
	last := time.Duration(-1)
	for _, smoothed := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second} {
		gap := flow.PollInterval(smoothed)
		if gap < last || gap > 2*time.Second {
			t.Errorf("left alone for %v at a round trip of %v, %v before", gap, smoothed, last)
		}
		last = gap
	}
	if got := flow.PollInterval(20 * time.Millisecond); got != 0 {
		t.Errorf("left alone for %v while all is calm", got)
	}
}
