package standin

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// fullPercent is a run that is not throttled.
const fullPercent = 100

// advance lets time pass until now, from event to event: the end of a run, a
// sample of usage, the lapse of the lease.
func (m *machine) advance(now time.Time) {
	if !now.After(m.now) {
		return
	}
	if m.faults.Paused {
		m.freeze(now)
		return
	}
	for m.now.Before(now) {
		next := m.nextEvent(now)
		m.progress(next.Sub(m.now))
		m.now = next
		m.completeRuns()
		m.lapse()
		m.sample()
	}
}

// freeze lets time pass without progress. The lease lapses all the same.
func (m *machine) freeze(now time.Time) {
	if !m.leaseUntil.After(now) && m.leaseUntil.After(m.now) {
		m.now = m.leaseUntil
	}
	m.lapse()
	m.now = now
	m.nextSample = now.Add(m.config.Lag)
}

// nextEvent returns the earliest event up to now.
func (m *machine) nextEvent(now time.Time) time.Time {
	next := earliest(now, m.now, m.leaseUntil)
	if m.config.Lag > 0 {
		next = earliest(next, m.now, m.nextSample)
	}
	for i, speed := range m.speeds() {
		r := m.runs[i]
		if speed <= 0 || r.workMS <= 0 {
			continue
		}
		left := time.Duration((r.workMS-r.doneMS)/speed*float64(time.Millisecond)) + 1
		next = earliest(next, m.now, m.now.Add(left))
	}
	return next
}

// earliest returns at if it is after the time after and before next, else
// next.
func earliest(next, after, at time.Time) time.Time {
	if at.After(after) && at.Before(next) {
		return at
	}
	return next
}

// progress adds the work done in d.
func (m *machine) progress(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	for i, speed := range m.speeds() {
		m.runs[i].doneMS += ms * speed
	}
}

// completeRuns ends the runs whose work is done.
func (m *machine) completeRuns() {
	for _, r := range m.runs {
		if r.running() && r.workMS > 0 && r.doneMS >= r.workMS {
			m.finish(r, infra.RunDone, "")
		}
	}
}

// lapse stops all runs once their lease is over.
func (m *machine) lapse() {
	if m.now.Before(m.leaseUntil) {
		return
	}
	for _, r := range m.runs {
		if r.running() {
			m.finish(r, infra.RunExpired, "")
		}
	}
}

// sample publishes the last sample of usage and takes the next one. Without
// a lag both happen at each step.
func (m *machine) sample() {
	if m.config.Lag > 0 && m.now.Before(m.nextSample) {
		return
	}
	m.nextSample = m.now.Add(m.config.Lag)
	m.reported, m.sampled = m.sampled, m.latencies()
	load := m.loads()
	for _, r := range m.runs {
		if !r.running() {
			continue
		}
		changed := r.reported != r.sampled
		r.reported = r.sampled
		r.sampled = usageSample{doneMS: r.doneMS, use: load.used(r)}
		if changed {
			m.touch(r)
		}
	}
}
