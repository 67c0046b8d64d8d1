package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const queue = "plans"

// spread is the spread of the logarithm of true run times in these tests.
const spread = 0.5

// trueTime draws the run time of a step.
func trueTime(random *rand.Rand) time.Duration {
	return time.Duration(float64(1500*time.Millisecond) * math.Exp(spread*random.NormFloat64()))
}

// miss returns how far apart two times are, as the logarithm of their ratio.
func miss(a, b time.Duration) float64 { return math.Abs(math.Log(float64(a) / float64(b))) }

// TestFindsOutWhatEstimatesAreWorth declares run times in several ways. What the model
// expects after some steps must be nearer to the truth than what is declared where that
// is false, and no farther where it is right.
func TestFindsOutWhatEstimatesAreWorth(t *testing.T) {
	for _, c := range []struct {
		name  string
		noise float64 // spread of the logarithm of declared times around the true ones
		bias  float64 // factor of all declared times
		// least is how much nearer the expected times must be, as a share of the distance
		// of the declared ones.
		least float64
	}{
		{"right", 0.02, 1, 0},
		{"fairly right", 0.3, 1, 0},
		{"mostly noise", 0.9, 1, 0.3},
		{"three times too long", 0.05, 3, 0.8},
		{"ten times too short, and noise", 0.9, 0.1, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var m Model
			declare := func(actual time.Duration) time.Duration {
				return time.Duration(float64(actual) * c.bias * math.Exp(c.noise*random.NormFloat64()))
			}
			for range 200 {
				actual := trueTime(random)
				m.Learn(queue, declare(actual), actual)
			}
			declaredMiss, expectedMiss := 0.0, 0.0
			for range 1000 {
				actual := trueTime(random)
				declared := declare(actual)
				declaredMiss += miss(declared, actual)
				expectedMiss += miss(m.Expected(queue, declared), actual)
			}
			const tolerance = 1.05 // of the fit to 200 steps
			if expectedMiss > tolerance*(1-c.least)*declaredMiss {
				t.Errorf("expected times are off by %.0f, declared ones by %.0f; want at least %.0f%% less", expectedMiss, declaredMiss, 100*c.least)
			}
		})
	}
}

// TestFewSamplesChangeLittle checks that one odd step doesn't change what is expected of
// the next ones by much.
func TestFewSamplesChangeLittle(t *testing.T) {
	var m Model
	m.Learn(queue, time.Second, 10*time.Second)
	if got := m.Expected(queue, time.Second); got > 1400*time.Millisecond {
		t.Errorf("after one step that took ten times as long %v are expected, want little over the declared 1 s", got)
	}
}

// TestFollowsChange checks that a queue whose run times change is learned anew.
func TestFollowsChange(t *testing.T) {
	var m Model
	for range 5 * memory {
		m.Learn(queue, time.Second, time.Second)
	}
	for range 2 * memory {
		m.Learn(queue, time.Second, 4*time.Second)
	}
	if got := m.Expected(queue, time.Second); got < 3*time.Second {
		t.Errorf("%v are expected after the run times rose to 4 s", got)
	}
}

// TestExpectedIsBounded checks other queues, missing values and extremes.
func TestExpectedIsBounded(t *testing.T) {
	var m Model
	for range 1000 {
		m.Learn(queue, time.Millisecond, time.Hour)
		m.Learn(queue, 0, time.Second)
		m.Learn(queue, time.Second, 0)
	}
	if got := m.Expected(queue, 0); got != 0 {
		t.Errorf("%v are expected though nothing is declared, want 0", got)
	}
	if got := m.Expected(queue, time.Millisecond); got != maxFactor*time.Millisecond {
		t.Errorf("%v are expected, want the bound of %v", got, maxFactor*time.Millisecond)
	}
	if got := m.Expected("another", time.Second); got != time.Second {
		t.Errorf("%v are expected in a queue without samples, want what is declared", got)
	}
	m.Forget(func(string) bool { return false })
	if got := m.Expected(queue, time.Second); got != time.Second {
		t.Errorf("%v are expected after the queue was forgotten, want what is declared", got)
	}
}
