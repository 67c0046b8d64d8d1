package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

// burstResult sums up the outcome of the bursts.
type burstResult struct {
	onTime, jobs int
	overTarget   time.Duration
}

// runBurst simulates, for each seed, 30 s of best-effort jobs that request most
// of the capacity left by serving tasks, with higher load in between. With
// takeover set, another owner takes over during the burst.
func runBurst(t *testing.T, disabled mechanism.Set, takeover bool) burstResult {
	t.Helper()
	var sum burstResult
	for seed := range uint64(3) {
		b := newBurst(t, seed, disabled)
		n := 0
		for second := range 30 {
			jobs := 5
			if second >= 10 && second < 16 {
				jobs = 7
			}
			for range jobs {
				b.submitBestEffort(fmt.Sprint("batch", n))
				n++
			}
			if takeover && second == 13 {
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
		sum.overTarget += b.overTarget
	}
	return sum
}

// TestBurst checks that in the same burst the full policy completes more jobs on
// time than starts in order of arrival and than placement without interference
// estimates, and keeps tails over their targets for less time than the latter.
func TestBurst(t *testing.T) {
	full := runBurst(t, 0, false)
	byArrival := runBurst(t, mechanism.Of(mechanism.Timeliness), false)
	withoutPairs := runBurst(t, mechanism.Of(mechanism.PairEffects, mechanism.ClassAffinity), false)
	t.Logf("full policy %+v; in order of arrival %+v; without interference estimates %+v", full, byArrival, withoutPairs)
	if full.onTime <= byArrival.onTime || full.onTime <= withoutPairs.onTime {
		t.Errorf("%d jobs on time, want more than %d (in order of arrival) and %d (without interference estimates)", full.onTime, byArrival.onTime, withoutPairs.onTime)
	}
	if full.overTarget >= withoutPairs.overTarget {
		t.Errorf("serving tasks were over their target for %v, want less than the %v without interference estimates", full.overTarget, withoutPairs.overTarget)
	}
}

// TestBurstWithTakeover checks that a takeover during the burst keeps the
// interference estimates and costs at most a tenth of the jobs on time.
func TestBurstWithTakeover(t *testing.T) {
	one := runBurst(t, 0, false)
	two := runBurst(t, 0, true)
	t.Logf("without a takeover %+v, with one %+v", one, two)
	if two.onTime < one.onTime*9/10 {
		t.Errorf("%d jobs on time with a takeover, want at least nine tenths of %d", two.onTime, one.onTime)
	}
}
