package dispatch

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
)

// rosterParts is the number of rows that hold the roster. It keeps a row below
// the 64 KB limit with 20,000 workers, and a change of one worker rewrites only
// one row.
const rosterParts = 64

// rosterPart returns the part of the roster that holds a worker.
func (w *worker) rosterPart() int { return int(w.hash % rosterParts) }

// maxRosterWrites bounds the parts of the roster in one batch. With 20,000 workers these
// are 0.8 MB, below the 1 MB limit of a transaction.
const maxRosterWrites = 32

// flushRoster writes the parts of the roster that have changed, at most maxRosterWrites.
func (s *State) flushRoster(b *Batch) error {
	if len(s.dirtyRosterParts) == 0 {
		return nil
	}
	parts := map[int]*RosterRow{}
	for part := range s.dirtyRosterParts {
		if len(parts) == maxRosterWrites {
			break
		}
		parts[part] = &RosterRow{}
		delete(s.dirtyRosterParts, part)
	}
	for _, w := range s.workers {
		if row := parts[w.rosterPart()]; row != nil {
			row.Workers = append(row.Workers, RosterWorker{
				Worker:   runner.Worker{ID: w.info.ID, Incarnation: w.incarnation, Address: w.info.Address, Capacity: w.info.Capacity},
				LeasedIn: w.leasedIn,
			})
			b.roster = append(b.roster, rosterEntry{w.info.ID, w.info.Address, w.leasedIn})
		}
	}
	b.removed = map[int]int{}
	for part, row := range parts {
		b.removed[part] = s.removedUnwritten[part]
		write := infra.Write{Key: RosterPrefix + strconv.Itoa(part), Delete: len(row.Workers) == 0}
		if !write.Delete {
			value, err := msgpack.Marshal(row)
			if err != nil {
				return errors.Wrap(err, "encode roster row")
			}
			write.Value = value
		}
		b.Writes = append(b.Writes, write)
	}
	return nil
}

// estimatesInterval is the minimum time between two writes of the interference
// estimates. An owner that begins without them tries one best-effort task a second
// on each worker.
const estimatesInterval = 4 * time.Second

// flushEstimates writes the interference estimates.
func (s *State) flushEstimates(now time.Time, b *Batch) error {
	value, err := msgpack.Marshal(s.model.Export())
	if err != nil {
		return errors.Wrap(err, "encode interference estimates")
	}
	b.Writes = append(b.Writes, infra.Write{Key: EstimatesKey, Value: value})
	s.estimatesChanged, s.estimatesFlushedAt = false, now
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
