package runtimes

import (
	"math"
	"time"
)

const (
	// memory is the number of steps after which the weight of a sample has fallen to a
	// third. It spans several minutes of a usual load.
	memory = 400
	// priorSamples is the weight, in samples, of the assumption that estimates are right,
	// and priorVariance the variance of the logarithm of estimates that goes with it.
	priorSamples  = 8
	priorVariance = 0.25
	// minTime bounds declared and seen times from below.
	minTime = time.Millisecond
	// maxFactor bounds the ratio of an expected to a declared time.
	maxFactor = 20
)

// Model holds what was learned of each queue. The zero value expects what is declared.
type Model struct {
	queues map[string]*line
}

// line is a fit of the logarithm of the seen time, y, to that of the declared one, x.
type line struct {
	// weight is the number of samples, of which older ones count less.
	weight float64
	// meanX and meanY are the means, varX and covariance those of the deviations.
	meanX, meanY     float64
	varX, covariance float64
}

// Learn records that the tasks of a step of a queue ran for seen on average.
func (m *Model) Learn(queue string, declared, seen time.Duration) {
	if declared <= 0 || seen <= 0 {
		return
	}
	if m.queues == nil {
		m.queues = map[string]*line{}
	}
	l := m.queues[queue]
	if l == nil {
		l = &line{}
		m.queues[queue] = l
	}
	l.add(logarithm(declared), logarithm(seen))
}

// Expected returns how long a task of a queue is expected to run, given its declared time.
// It is 0 if none is declared.
func (m *Model) Expected(queue string, declared time.Duration) time.Duration {
	l := m.queues[queue]
	if l == nil || declared <= 0 {
		return declared
	}
	expected := time.Duration(math.Exp(l.at(logarithm(declared))) * float64(time.Second))
	return min(max(expected, declared/maxFactor), declared*maxFactor)
}

// Forget drops the queues for which keep returns false.
func (m *Model) Forget(keep func(queue string) bool) {
	for queue := range m.queues {
		if !keep(queue) {
			delete(m.queues, queue)
		}
	}
}

// add adds a sample.
func (l *line) add(x, y float64) {
	l.weight = l.weight*(1-1.0/memory) + 1
	part := 1 / l.weight
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += part * dx
	l.meanY += part * dy
	l.varX += part * (dx*(x-l.meanX) - l.varX)
	l.covariance += part * (dx*(y-l.meanY) - l.covariance)
}

// at returns the expected y at x. With few samples it is near x.
func (l *line) at(x float64) float64 {
	prior := priorSamples * priorVariance
	slope := (l.weight*l.covariance + prior) / (l.weight*l.varX + prior)
	offset := l.weight / (l.weight + priorSamples) * (l.meanY - l.meanX)
	return l.meanX + offset + slope*(x-l.meanX)
}

// logarithm returns the natural logarithm of a time in seconds.
func logarithm(d time.Duration) float64 { return math.Log(max(d, minTime).Seconds()) }
