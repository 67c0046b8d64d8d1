package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/flow"
)

const (
	minTimeout = 300 * time.Millisecond
	maxTimeout = 2500 * time.Millisecond
)

// TestTimeoutFollowsRoundTrips checks that the timeout stays at its minimum for
// short round trips, exceeds longer ones and never exceeds its maximum.
func TestTimeoutFollowsRoundTrips(t *testing.T) {
	for rtt, want := range map[time.Duration][2]time.Duration{
		5 * time.Millisecond:   {minTimeout, minTimeout},
		400 * time.Millisecond: {400 * time.Millisecond, time.Second},
		4 * time.Second:        {maxTimeout, maxTimeout},
	} {
		timeout := flow.Timeout{Min: minTimeout, Max: maxTimeout}
		for range 50 {
			timeout.Answered(rtt)
		}
		if got := timeout.Value(); got < want[0] || got > want[1] {
			t.Errorf("timeout is %v at a round trip of %v, want %v to %v", got, rtt, want[0], want[1])
		}
	}
}

// TestTimeoutDistinguishesDelayFromLoss checks that a minority of unresponsive
// workers doesn't change the timeout, and that it grows past the round trip
// when all answers arrive after it, though no such round trip is ever observed.
func TestTimeoutDistinguishesDelayFromLoss(t *testing.T) {
	timeout := flow.Timeout{Min: minTimeout, Max: maxTimeout}
	for i := range 1000 {
		timeout.Answered(10 * time.Millisecond)
		if i%10 == 0 {
			timeout.TimedOut()
		}
	}
	if got := timeout.Value(); got != minTimeout {
		t.Errorf("timeout is %v while one order in eleven is lost, want %v", got, minTimeout)
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
		t.Errorf("timeout is %v at a round trip of %v, want at least that", got, delay)
	}
	for range 500 {
		timeout.Answered(10 * time.Millisecond)
	}
	if got := timeout.Value(); got != minTimeout {
		t.Errorf("timeout is %v after round trips became short again, want %v", got, minTimeout)
	}
}

// TestTimeoutAfterMassLoss has all workers of a large domain time out again and again, as
// when most hosts that relay orders are killed. The timeout must end at its maximum, and
// return to its minimum soon after the workers answer.
func TestTimeoutAfterMassLoss(t *testing.T) {
	timeout := flow.Timeout{Min: minTimeout, Max: maxTimeout}
	for i := range 3000 {
		timeout.TimedOut()
		if got := timeout.Value(); got < minTimeout || got > maxTimeout {
			t.Fatalf("timeout is %v after %d orders without an answer, want %v to %v", got, i+1, minTimeout, maxTimeout)
		}
	}
	if got := timeout.Value(); got != maxTimeout {
		t.Errorf("timeout is %v, want %v", got, maxTimeout)
	}
	for range 500 {
		timeout.Answered(10 * time.Millisecond)
	}
	if got := timeout.Value(); got != minTimeout {
		t.Errorf("timeout is %v after 500 answers, want %v", got, minTimeout)
	}
}

// TestLimitBoundsDelay offers unlimited work to a link that carries 200 orders
// per second: the round trip stays near the target and the link stays busy.
func TestLimitBoundsDelay(t *testing.T) {
	const (
		perOrder = 5 * time.Millisecond // time that the link needs for one order
		target   = 100 * time.Millisecond
	)
	l := flow.NewLimit(target, 4, 512)
	now := time.Unix(1000, 0)
	var queue []time.Time // when each order in flight was sent
	served, late := 0, 0
	for range 4000 { // 20 s
		for l.Available() > 0 {
			l.Acquire()
			queue = append(queue, now)
		}
		now = now.Add(perOrder)
		rtt := now.Sub(queue[0])
		queue = queue[1:]
		l.Answered(now, rtt)
		served++
		if served > 1000 && rtt > 2*target {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d orders took longer than %v", late, served-1000, 2*target)
	}
	if current := l.Current(); current < 8 {
		t.Errorf("limit is %d, want at least 8 to keep the link busy", current)
	}
}

// TestLimitRecovers checks that the limit falls to its minimum while round
// trips are long and rises to its maximum once they are short.
func TestLimitRecovers(t *testing.T) {
	l := flow.NewLimit(100*time.Millisecond, 4, 512)
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(time.Second)
		l.Acquire()
		l.Answered(now, time.Second)
	}
	if got := l.Current(); got != 4 {
		t.Fatalf("limit is %d at a round trip of 1s, want the minimum of 4", got)
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
		t.Errorf("limit is %d after 30 short round trips, want the maximum of 512", got)
	}
}

// TestLimitInFlightCount mixes Acquire, Release and Answered at random.
func TestLimitInFlightCount(t *testing.T) {
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
			t.Fatalf("%d in flight, want %d", l.InFlight(), open)
		}
		if c := l.Current(); c < 4 || c > 64 {
			t.Fatalf("limit is %d, want 4 to 64", c)
		}
	}
}

// TestPollInterval checks that workers are polled again at once while round
// trips are short, and less often as they grow, up to a bound below the lease.
func TestPollInterval(t *testing.T) {
	last := time.Duration(-1)
	for _, smoothedRTT := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second} {
		interval := flow.PollInterval(smoothedRTT)
		if interval < last || interval > 2*time.Second {
			t.Errorf("poll interval is %v at a round trip of %v, after %v at a shorter one", interval, smoothedRTT, last)
		}
		last = interval
	}
	if got := flow.PollInterval(20 * time.Millisecond); got != 0 {
		t.Errorf("poll interval is %v at a round trip of 20ms, want 0", got)
	}
}
