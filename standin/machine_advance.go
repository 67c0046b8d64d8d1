package standin

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// fullPercent is the CPU limit of a run that isn't throttled.
const fullPercent = 100

// advance simulates the time until now, event by event: completion of a run, a
// usage sample, expiry of the lease.
func (m *machine) advance(now time.Time) {
	if !now.After(m.now) {
		return
	}
	if m.faults.Paused {
		m.advancePaused(now)
		return
	}
	for m.now.Before(now) {
		next := m.nextEvent(now)
		m.progress(next.Sub(m.now))
		m.now = next
		m.completeRuns()
		m.expireLease()
		m.sample()
	}
}

// advancePaused simulates the time until now without progress; the lease can expire.
func (m *machine) advancePaused(now time.Time) {
	if !m.leaseUntil.After(now) && m.leaseUntil.After(m.now) {
		m.now = m.leaseUntil
	}
	m.expireLease()
	m.now = now
	m.nextSample = now.Add(m.config.Lag)
}

// nextEvent returns the time of the next event, at most now.
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

// earliest returns at if it lies between after and next, otherwise next.
func earliest(next, after, at time.Time) time.Time {
	if at.After(after) && at.Before(next) {
		return at
	}
	return next
}

// progress advances all running runs by the duration d.
func (m *machine) progress(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	for i, speed := range m.speeds() {
		m.runs[i].doneMS += ms * speed
	}
}

// completeRuns finishes the runs that have done all their work.
func (m *machine) completeRuns() {
	for _, r := range m.runs {
		if r.running() && r.workMS > 0 && r.doneMS >= r.workMS {
			m.finish(r, infra.RunDone, "")
		}
	}
}

// expireLease ends all runs if the lease has expired.
func (m *machine) expireLease() {
	if m.now.Before(m.leaseUntil) {
		return
	}
	for _, r := range m.runs {
		if r.running() {
			m.finish(r, infra.RunExpired, "")
		}
	}
}

// sample reports the previous usage sample and takes a new one, every config.Lag.
// Without a lag it does so at each step.
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
			m.markChanged(r)
		}
	}
}
