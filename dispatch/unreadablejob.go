package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// EndsPrefix begins the key of the ends that owners recorded of a job whose rows they
// couldn't decode; the job's ID follows. An owner that can decode them applies the ends.
const EndsPrefix = "ends/"

// endRowBytes bounds the size of an end in the row of ends, and endsRowBytes what that row
// needs besides.
const (
	endRowBytes  = 40
	endsRowBytes = 64
)

// maxEnds is the number of ends that are kept of such a job, so that they fit a row. Its runs
// are stopped once they are reported, so that few end by themselves.
func (s *State) maxEnds() int { return (s.limits().RowBytes - endsRowBytes) / endRowBytes }

// EndsRow is the durable form of the ends of a job whose rows the owner couldn't decode.
type EndsRow struct {
	Ends []EndRow `msgpack:"e"`
}

// EndRow is an end that says that a task is done, or that counts as an attempt. It is
// encoded as an array, so that its fields can't change.
type EndRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Occurrence, Step, Index int
	Run                     uint64
	Failed                  bool
}

// unreadableJob is a job of an earlier owner whose rows this one can't decode. It runs
// nothing of the job, and keeps what its workers tell of it.
type unreadableJob struct {
	ends  []EndRow
	dirty bool
}

// SkipJob records that the rows of an accepted job can't be decoded. ends are those that
// earlier owners recorded of it, nil if they recorded none.
func (s *State) SkipJob(id string, ends *EndsRow) {
	j := &unreadableJob{}
	if ends != nil {
		j.ends = ends.Ends
	}
	s.unreadable[id] = j
}

// JobUnreadable reports whether a job was accepted by an earlier owner, but its rows can't be
// decoded.
func (s *State) JobUnreadable(id string) bool { return s.unreadable[id] != nil }

// recordUnreadable keeps an end of a run of an unreadable job. Once the worker's end is
// acknowledged, nothing else tells a later owner that the task is done.
func (s *State) recordUnreadable(e *runner.RunEnd) {
	j := s.unreadable[e.Task.Job]
	if j == nil || (e.Kind != runner.EndDone && e.Kind != runner.EndFailed) || len(j.ends) >= s.maxEnds() {
		return
	}
	row := EndRow{Occurrence: e.Task.Occurrence, Step: e.Task.Step, Index: e.Task.Index, Run: e.Run, Failed: e.Kind == runner.EndFailed}
	if !slices.Contains(j.ends, row) {
		j.ends, j.dirty = append(j.ends, row), true
	}
}

// flushUnreadable writes the ends of unreadable jobs. It returns false if there is no room in
// the batch for some.
func (s *State) flushUnreadable(b *Batch) (bool, error) {
	for id, j := range s.unreadable {
		if !j.dirty {
			continue
		}
		value, err := msgpack.Marshal(EndsRow{j.ends})
		if err != nil {
			return false, errors.Wrap(err, "encode ends of an unreadable job")
		}
		if !b.add(batchUnit{endsOf: id}, infra.Write{Key: EndsPrefix + id, Value: value}) {
			return false, nil
		}
		j.dirty = false
	}
	return true, nil
}

// RestoreEnds applies the ends that owners recorded of a restored job whose rows they
// couldn't decode. Their row is deleted with the job's next change.
func (s *State) RestoreEnds(now time.Time, id string, row *EndsRow) {
	j := s.jobs[id]
	if j == nil {
		s.orphans = append(s.orphans, EndsPrefix+id) // it has ended
		return
	}
	j.hasEndsRow = true
	s.markDirty(j)
	for _, e := range row.Ends {
		t := j.task(workload.TaskID{Job: id, Occurrence: e.Occurrence, Step: e.Step, Index: e.Index})
		if t == nil || t.done || j.state.Final() {
			continue
		}
		s.markStarted(j)
		t.recordEnded(e.Run)
		if e.Failed {
			s.countFailure(now, t, e.Run)
		} else {
			s.taskDone(now, t)
		}
	}
}

// DecodeEndsRow decodes the ends of a job whose rows couldn't be decoded.
func DecodeEndsRow(value []byte) (*EndsRow, error) {
	var row EndsRow
	if err := msgpack.Unmarshal(value, &row); err != nil {
		return nil, errors.Wrap(err, "decode ends row")
	}
	return &row, nil
}
