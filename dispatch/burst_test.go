package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

// result is what a burst came to.
type result struct {
	onTime, jobs int
	over         time.Duration
}

// replayBurst plays 30 s of fillers that ask for most of what serving tasks
// leave, a third more of them for 6 s, on each seed. If an owner is gone, another
// takes over in mid-burst.
func replayBurst(t *testing.T, without mechanism.Set, ownerGone bool) result {
	t.Helper()
	var sum result
	for seed := range uint64(3) {
		b := newBurst(t, seed, without)
		n := 0
		for second := range 30 {
			jobs := 5
			if second >= 10 && second < 16 {
				jobs = 7
			}
			for range jobs {
				b.draft(fmt.Sprint("draft", n))
				n++
			}
			if ownerGone && second == 13 {
				b.replaceOwner()
			}
			b.run(time.Second)
		}
		b.run(20 * time.Second)
		for id, due := range b.due {
			sum.jobs++
			if end := b.ended[id]; !end.IsZero() && !end.After(due) {
				sum.onTime++
			}
		}
		sum.over += b.over
	}
	return sum
}

// TestBurst holds the policy against first come first served, and against
// placing without what is learned of images, in the same burst.
func TestBurst(t *testing.T) {
	ours := replayBurst(t, 0, false)
	firstCome := replayBurst(t, mechanism.Of(mechanism.Timeliness), false)
	blind := replayBurst(t, mechanism.Of(mechanism.PairEffects, mechanism.ClassAffinity), false)
	t.Logf("on time, and time of serving tasks over their target: %+v; first come %+v; without pairs %+v", ours, firstCome, blind)
	if ours.onTime <= firstCome.onTime || ours.onTime <= blind.onTime {
		t.Errorf("%d jobs on time, want more than %d (first come) and %d (without pairs)", ours.onTime, firstCome.onTime, blind.onTime)
	}
	if ours.over >= blind.over {
		t.Errorf("serving tasks were over their target for %v, want less than the %v without pairs", ours.over, blind.over)
	}
}

// TestBurstOwnerGone loses the owner in mid-burst: what was learned of images is
// kept, and nine tenths of what is on time with one owner still is.
func TestBurstOwnerGone(t *testing.T) {
	one := replayBurst(t, 0, false)
	two := replayBurst(t, 0, true)
	t.Logf("one owner %+v, two %+v", one, two)
	if two.onTime < one.onTime*9/10 {
		t.Errorf("%d jobs on time with a change of owner, want nine tenths of %d", two.onTime, one.onTime)
	}
}
