package pace_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/pace"
)

// BenchmarkDecide decides on the workers of a large pool. It must not allocate.
func BenchmarkDecide(b *testing.B) {
	s := newSim(1, 890, 3, oneIn33)
	s.run(5 * time.Second)
	s.setFactor(0, 222, 6)
	s.run(4 * time.Second)
	states := make([]*pace.Worker, len(s.workers))
	for i, w := range s.workers {
		states[i] = &w.state
	}
	b.ReportAllocs()
	for b.Loop() {
		s.judge.Decide(s.now, states)
	}
}
