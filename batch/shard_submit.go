package batch

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// submitCode says what became of a submission at a shard.
type submitCode uint8

// The results of a submission.
const (
	submitUnknown submitCode = iota
	// submitAccepted: the job is durable.
	submitAccepted
	// submitExisting: the same job was durable before.
	submitExisting
	// submitKeyConflict: the key belongs to another spec.
	submitKeyConflict
	// submitNeverFits: no worker of the shard can ever hold the job.
	submitNeverFits
	// submitNotReady: this host does not own the shard, or not yet.
	submitNotReady
	// submitRefused: the table did not take the commit; the job is not held.
	submitRefused
)

// submitReply is the answer to a submission.
type submitReply struct {
	Code   submitCode `msgpack:"c"`
	Status Status     `msgpack:"s"`
	Reason string     `msgpack:"r,omitempty"`
	// Load is the number of jobs waiting in the shard.
	Load int `msgpack:"l"`
}

// submit makes a job durable. reply is called once it is known what became of
// it; a commit that was not sent by the deadline is refused.
func (s *Shard) submit(now time.Time, spec task.Spec, deadline time.Time, reply func(submitReply)) {
	if !s.live() {
		reply(submitReply{Code: submitNotReady})
		return
	}
	if j := s.jobs[spec.ID]; j != nil {
		reply(s.repeated(j, spec))
		return
	}
	if reason, never := s.planner.NeverFits(spec); never {
		reply(submitReply{Code: submitNeverFits, Reason: reason, Load: s.pending})
		return
	}
	if _, ok := s.arriving[spec.ID]; ok {
		reply(submitReply{Code: submitNotReady})
		return
	}
	if spec.Urgent && s.submitStarted(now, spec, deadline, reply) {
		return
	}
	c := submission(s.name, task.New(spec))
	c.urgent = spec.Urgent
	c.deadline = deadline
	c.done = func(now time.Time, r infra.CommitResult) { reply(s.submitted(now, spec, r)) }
	s.put(c)
}

// repeated answers a submission under an id that the shard holds.
func (s *Shard) repeated(j *job, spec task.Spec) submitReply {
	if specHash(j.rec.Spec) != specHash(spec) {
		return submitReply{Code: submitKeyConflict, Status: s.status(j)}
	}
	return submitReply{Code: submitExisting, Status: s.status(j)}
}

// submission returns the rows of a new job.
func submission(shard string, r task.Record) change {
	ref := refKey(r.Spec.ID)
	c := change{
		conditions: []infra.Condition{{Key: ref}},
		writes: []infra.Write{
			{Key: jobKey(shard, r.Spec.ID), Value: encode(r)},
			{Key: ref, Value: []byte(shard)},
		},
	}
	if r.Spec.Key == "" {
		return c
	}
	key := idempotencyKey(r.Spec.Team, r.Spec.Key)
	row := keyRow{ID: r.Spec.ID, Hash: specHash(r.Spec)}
	c.conditions = append(c.conditions, infra.Condition{Key: key})
	c.writes = append(c.writes, infra.Write{Key: key, Value: encode(row)})
	return c
}

// submitted takes in the result of a submission's commit.
func (s *Shard) submitted(now time.Time, spec task.Spec, r infra.CommitResult) submitReply {
	switch r.Status {
	case infra.CommitApplied:
		return s.accept(now, spec, r.Version)
	case infra.CommitNotApplied:
		return submitReply{Code: submitRefused, Reason: ReasonStoreUnavailable}
	case infra.CommitConflict:
		return s.taken(spec, r.Conflicts)
	default:
		return submitReply{Code: submitUnknown, Status: Status{ID: spec.ID, Shard: s.name}, Reason: ReasonAnswerLost}
	}
}

// accept adds a job that is durable.
func (s *Shard) accept(now time.Time, spec task.Spec, version uint64) submitReply {
	j := &job{rec: task.New(spec), version: version, queued: now}
	s.jobs[spec.ID] = j
	s.enqueue(now, j)
	return submitReply{Code: submitAccepted, Status: s.status(j), Load: s.pending}
}

// taken answers a submission whose conditions did not hold.
func (s *Shard) taken(spec task.Spec, conflicts []infra.Row) submitReply {
	for _, row := range conflicts {
		if spec.Key == "" || row.Key != idempotencyKey(spec.Team, spec.Key) {
			continue
		}
		var owner keyRow
		if msgpack.Unmarshal(row.Value, &owner) != nil || owner.Hash != specHash(spec) {
			return submitReply{Code: submitKeyConflict, Status: Status{ID: owner.ID}}
		}
		return submitReply{Code: submitExisting, Status: Status{ID: owner.ID}}
	}
	for _, row := range conflicts {
		if row.Key == refKey(spec.ID) {
			return submitReply{Code: submitExisting, Status: Status{ID: spec.ID, Shard: string(row.Value)}}
		}
	}
	return submitReply{Code: submitNotReady}
}
