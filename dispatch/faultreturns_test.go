package dispatch_test

import (
	"fmt"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// Probabilities of the faults of workers that start again under their IDs: of returnFault at
// each tick and worker, of the others each time.
const (
	returnFault    = 0.006
	crashAtStart   = 0.02
	lateInReturns  = 0.05
	lateAnswer     = 0.05
	crashesAgain   = 0.3
	changesAddress = 0.15
	returnsAtOnce  = 0.3
	entryAtOnce    = 0.3
)

const (
	// returnLease is the longest lease that returning workers grant.
	returnLease = 10 * time.Second
	// latestOrder is how late an order may be carried out, and latestAnswer how late an
	// answer arrives that isn't lost.
	latestOrder  = 12 * time.Second
	latestAnswer = 2 * time.Second
	// longestAbsence is the longest time between two lives.
	longestAbsence = 8 * time.Second
	// longestEntryLag is how late a new life writes its entry on the membership list.
	longestEntryLag = 3 * time.Second
	// clockAhead is how much longer than the simulation a first life may be.
	clockAhead = time.Minute
	// timeOfDayJump is how far a worker's time of day may be off.
	timeOfDayJump = time.Hour
)

// workerReturns is what a simulation knows of the lives of its workers.
type workerReturns struct {
	// addresses counts the addresses given to lives.
	addresses int
	// begun counts the lives that began under a known ID.
	begun int
	// sent holds the starts that may still be carried out.
	sent []*sentStart
	// acrossLives counts the starts carried out by a later life than that which they were
	// sent to, and outlived those that were lost as the owner had given them up.
	acrossLives, outlived int
}

// returnWorkers makes the workers of a simulation start again under their IDs.
func (s *faultSim) returnWorkers() {
	s.returns = &workerReturns{}
	for _, w := range s.workers {
		s.beginFirstLife(w)
	}
}

// beginFirstLife begins the first life of a new worker.
func (s *faultSim) beginFirstLife(w *faultWorker) {
	w.maxLease, w.returning.incarnations = returnLease, map[runner.Incarnation]bool{}
	w.info.Address = s.newAddress()
	w.beginLife(s.startedAt.Add(-s.between(0, clockAhead)), s.newIncarnation(w))
}

// newAddress returns an address that no worker has had.
func (s *faultSim) newAddress() string {
	s.returns.addresses++
	return fmt.Sprintf("10.0.%d.%d:80", 1+s.returns.addresses/250, 1+s.returns.addresses%250)
}

// newIncarnation returns an incarnation that the worker hasn't had, before or after those that
// it had.
func (s *faultSim) newIncarnation(w *faultWorker) runner.Incarnation {
	for {
		i := runner.Incarnation(s.now.Add(s.between(0, 2*timeOfDayJump)).UnixMilli())
		if i != 0 && !w.returning.incarnations[i] {
			return i
		}
	}
}

// disturbLife makes a worker start again under its ID, lose its answers for a while, or both.
func (s *faultSim) disturbLife(w *faultWorker) {
	if kind := s.random.IntN(4); kind > 0 {
		s.crashAndReturn(w)
	} else {
		s.mute(w)
	}
}

// mute makes a worker's answers get lost for a while; it still gets orders.
func (s *faultSim) mute(w *faultWorker) {
	w.returning.mutedUntil = s.now.Add(s.between(time.Second, 12*time.Second))
	s.tracef(workload.TaskID{}, "the answers of %s are lost for %.1f s", w.describe(), w.returning.mutedUntil.Sub(s.now).Seconds())
}

// crashAndReturn ends a worker's life and begins another one under its ID, at once or
// later.
func (s *faultSim) crashAndReturn(w *faultWorker) {
	s.tracef(workload.TaskID{}, "%s crashes with %d runs and will return", w.describe(), len(w.runs))
	if w.returning.entry == nil {
		entry := w.info
		w.returning.entry, w.returning.endedAt = &entry, s.now
	}
	w.returning.writesAt = s.now.Add(longestAbsence + longestEntryLag)
	w.terminate(s.now, false)
	if s.chance(returnsAtOnce) {
		s.returnWorker(w)
		return
	}
	s.after(s.between(200*time.Millisecond, longestAbsence), func() { s.returnWorker(w) })
}

// returnWorker begins the next life of a worker. That may crash again soon, or lose its
// answers.
func (s *faultSim) returnWorker(w *faultWorker) {
	w.beginLife(s.now, s.newIncarnation(w))
	s.returns.begun++
	if s.chance(changesAddress) {
		w.returning.takenAddress = ""
		if s.random.IntN(2) == 0 {
			w.returning.takenAddress = w.info.Address
		}
		w.info.Address = s.newAddress()
	}
	w.returning.writesAt = s.now
	if !s.chance(entryAtOnce) {
		w.returning.writesAt = s.now.Add(s.between(0, longestEntryLag))
	}
	s.tracef(workload.TaskID{}, "%s begins at %s, incarnation %d", w.describe(), w.info.Address, w.info.Incarnation)
	life := w.returning.lives
	soon := func(fault func(*faultWorker)) {
		s.after(s.between(0, 3*time.Second), func() {
			if w.returning.lives == life && w.terminatedAt.IsZero() && !s.noFaults {
				fault(w)
			}
		})
	}
	if s.chance(crashesAgain) {
		soon(s.crashAndReturn)
	}
	if s.chance(crashesAgain) {
		soon(s.mute)
	}
}
