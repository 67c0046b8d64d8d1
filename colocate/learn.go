package colocate

import "github.com/fireflygate/fireflygate/interference"

// Learn takes in what a worker reported: the tails there while its fillers
// used what they did. Both figures are of the same half second.
func Learn(m *interference.Model, w *Worker) {
	load := w.Load()
	for i := range w.Serving {
		s := &w.Serving[i]
		m.Learn(s.Class, load, float64(s.Tail.Microseconds())/1000)
	}
}
