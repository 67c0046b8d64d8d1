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

// rosterParts is how many rows hold the roster. A worker takes some 80 bytes:
// with 20,000 workers a part still fits the 64 KB of a row, and a worker that
// comes or goes rewrites one part only.
const rosterParts = 64

// rosterPart returns the part of the roster that holds a worker.
func (w *worker) rosterPart() int { return int(w.mark % rosterParts) }

// flushRoster writes the parts of the roster that have changed.
func (s *State) flushRoster(b *Batch) error {
	if len(s.rosterChanged) == 0 {
		return nil
	}
	parts := map[int]*RosterRow{}
	for part := range s.rosterChanged {
		parts[part] = &RosterRow{}
	}
	for _, w := range s.workers {
		if row := parts[w.rosterPart()]; row != nil {
			row.Workers = append(row.Workers, runner.Worker{ID: w.info.ID, Address: w.info.Address, Capacity: w.info.Capacity})
			b.roster = append(b.roster, w.info.ID)
		}
	}
	for part, row := range parts {
		write := infra.Write{Key: RosterPrefix + strconv.Itoa(part), Delete: len(row.Workers) == 0}
		if !write.Delete {
			value, err := msgpack.Marshal(row)
			if err != nil {
				return errors.Wrap(err, "encode roster")
			}
			write.Value = value
		}
		b.Writes = append(b.Writes, write)
	}
	s.rosterChanged = map[int]bool{}
	return nil
}

// lessonsEvery is the time between two writes of what was learned. A later
// owner that begins without it tries one filler a second on each worker.
const lessonsEvery = 4 * time.Second

// flushLessons writes what is known of pairs of images.
func (s *State) flushLessons(now time.Time, b *Batch) error {
	value, err := msgpack.Marshal(s.model.Export())
	if err != nil {
		return errors.Wrap(err, "encode lessons")
	}
	b.Writes = append(b.Writes, infra.Write{Key: EstimatesKey, Value: value})
	s.learned, s.lessonsAt = false, now
	return nil
}

// ImportEstimates takes in what an earlier owner has learned.
func (s *State) ImportEstimates(value []byte) error {
	if s.cfg.Disabled.Has(mechanism.StoredEstimates) {
		return nil
	}
	var lessons []interference.ClassEstimate
	if err := msgpack.Unmarshal(value, &lessons); err != nil {
		return errors.Wrap(err, "decode lessons")
	}
	s.model.Import(lessons)
	return nil
}
