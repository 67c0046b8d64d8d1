package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
)

// rosterParts is the number of rows that hold the roster. A change of one worker rewrites only
// one row.
const rosterParts = 64

// rosterPart returns the part of the roster that holds a worker.
func (w *worker) rosterPart() int { return int(w.hash % rosterParts) }

// flushRoster writes the parts of the roster that have changed, as far as there is room in the
// batch.
func (s *State) flushRoster(now time.Time, b *Batch) error {
	s.collectRosterAside(now)
	if len(s.dirtyRosterParts) == 0 {
		return nil
	}
	members := map[int][]*worker{}
	for _, w := range s.byID() {
		if part := w.rosterPart(); s.dirtyRosterParts[part] {
			members[part] = append(members[part], w)
		}
	}
	for part := range rosterParts {
		if !s.dirtyRosterParts[part] {
			continue
		}
		written, err := s.flushRosterPart(now, b, part, members[part])
		if err != nil {
			return err
		}
		if !written {
			return nil
		}
		delete(s.dirtyRosterParts, part)
	}
	return nil
}

// collectRosterAside marks the parts of the roster as changed that were rejected and are due
// again, and no others of those that were rejected.
func (s *State) collectRosterAside(now time.Time) {
	for part, due := range s.rosterAside {
		if now.Before(due) {
			delete(s.dirtyRosterParts, part)
			continue
		}
		s.dirtyRosterParts[part] = true
		delete(s.rosterAside, part)
	}
}

// flushRosterPart writes a part of the roster with its workers. It returns false if there is no
// room for it in the batch.
func (s *State) flushRosterPart(now time.Time, b *Batch, part int, workers []*worker) (bool, error) {
	u := &batchRoster{part: part, removed: s.removedUnwritten[part]}
	write := infra.Write{Key: RosterPrefix + strconv.Itoa(part), Delete: len(workers) == 0}
	unlisted := 0
	if !write.Delete {
		value, listed, err := s.encodeRosterPart(now, workers)
		if err != nil {
			return false, err
		}
		write.Value, unlisted = value, len(workers)-len(listed)
		for _, w := range listed {
			u.workers = append(u.workers, rosterEntry{w.info.ID, w.info.Address, w.leasedIn})
		}
	}
	if !b.add(batchUnit{roster: u}, write) {
		return false, nil
	}
	b.Unlisted += unlisted
	return true, nil
}

// encodeRosterPart returns the value of a part of the roster, and the workers that it lists. If
// there is no room in a row for all of them, those are left out, and get no orders, that aren't
// listed yet.
func (s *State) encodeRosterPart(now time.Time, workers []*worker) (value []byte, listed []*worker, err error) {
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Compare(btoi(b.inRoster), btoi(a.inRoster))
	})
	row := RosterRow{}
	for _, w := range workers {
		row.Workers = append(row.Workers, RosterWorker{
			Worker:   runner.Worker{ID: w.info.ID, Incarnation: w.incarnation, Address: w.info.Address, Capacity: w.info.Capacity},
			LeasedIn: w.leasedIn, NewLife: s.inNewLife(now, w),
		})
	}
	most := s.limits().RowBytes
	for {
		value, err = msgpack.Marshal(&row)
		if err != nil || len(value) <= most || len(row.Workers) == 0 {
			return value, workers[:len(row.Workers)], errors.Wrap(err, "encode roster row")
		}
		fits := min(len(row.Workers)*most/len(value), len(row.Workers)-1)
		row.Workers = row.Workers[:fits]
	}
}

// btoi returns 1 for true.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// inNewLife reports whether a worker has started again under its ID shortly before.
func (s *State) inNewLife(now time.Time, w *worker) bool {
	return (w.restarted && now.Sub(w.since) < LongestLease(s.cfg.MaxLease)) || (w.inheritedNewLife && !w.reported)
}

// estimatesInterval is the minimum time between two writes of the interference
// estimates. An owner that begins without them tries one best-effort task a second
// on each worker.
const estimatesInterval = 4 * time.Second

// flushEstimates writes the interference estimates, as many as fit a row. If there is no room
// for them in the batch, they are left to a later one.
func (s *State) flushEstimates(now time.Time, b *Batch) error {
	value, err := interference.Encode(s.model.Export(), s.limits().RowBytes)
	if err != nil {
		return err
	}
	if b.add(batchUnit{estimates: true}, infra.Write{Key: EstimatesKey, Value: value}) {
		s.estimatesChanged, s.estimatesFlushedAt = false, now
	}
	return nil
}

// ImportEstimates loads the interference estimates stored by an earlier owner.
func (s *State) ImportEstimates(value []byte) error {
	if s.cfg.Disabled.Has(mechanism.StoredEstimates) {
		return nil
	}
	var estimates []interference.ClassEstimate
	if err := msgpack.Unmarshal(value, &estimates); err != nil {
		return errors.Wrap(err, "decode interference estimates")
	}
	s.model.Import(estimates)
	return nil
}
