package batch

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// submitCode is the result of a submission to a shard.
type submitCode uint8

// The results of a submission.
const (
	submitUnknown submitCode = iota
	// submitAccepted: the job is durable.
	submitAccepted
	// submitExisting: the same job was already durable.
	submitExisting
	// submitKeyConflict: the idempotency key or ID belongs to another spec.
	submitKeyConflict
	// submitNeverFits: the job exceeds the capacity of every worker of the
	// shard.
	submitNeverFits
	// submitNotReady: this host does not own the shard or has not replayed it.
	submitNotReady
	// submitRefused: the commit was not applied; the job does not exist.
	submitRefused
)

// submitReply is the reply to a submission.
type submitReply struct {
	Code   submitCode `msgpack:"c"`
	Status Status     `msgpack:"s"`
	Reason string     `msgpack:"r,omitempty"`
	// Load is the number of pending jobs of the shard.
	Load int `msgpack:"l"`
}

// submit commits a job and calls reply with the result. A commit that was not
// sent by the deadline is not applied.
func (s *Shard) submit(now time.Time, spec task.Spec, deadline time.Time, reply func(submitReply)) {
	if !s.acceptsWork() {
		reply(submitReply{Code: submitNotReady})
		return
	}
	if j := s.jobs[spec.ID]; j != nil {
		reply(s.repeatReply(j, spec))
		return
	}
	if reason, never := s.planner.NeverFits(spec); never {
		reply(submitReply{Code: submitNeverFits, Reason: reason, Load: s.pending})
		return
	}
	if _, ok := s.committingUrgent[spec.ID]; ok {
		reply(submitReply{Code: submitNotReady})
		return
	}
	if spec.Urgent && s.submitWithStart(now, spec, deadline, reply) {
		return
	}
	c := submissionChange(s.name, task.New(spec))
	c.urgent = spec.Urgent
	c.deadline = deadline
	c.done = func(now time.Time, r infra.CommitResult) { reply(s.handleSubmitResult(now, spec, r)) }
	s.submitCommit(c)
}

// repeatReply returns the reply to a submission with the ID of an existing job.
func (s *Shard) repeatReply(j *job, spec task.Spec) submitReply {
	if specHash(j.rec.Spec) != specHash(spec) {
		return submitReply{Code: submitKeyConflict, Status: s.status(j)}
	}
	return submitReply{Code: submitExisting, Status: s.status(j)}
}

// submissionChange returns the change that creates the rows of a new job.
func submissionChange(shard string, r task.Record) change {
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
	row := idempotencyRow{ID: r.Spec.ID, Hash: specHash(r.Spec)}
	c.conditions = append(c.conditions, infra.Condition{Key: key})
	c.writes = append(c.writes, infra.Write{Key: key, Value: encode(row)})
	return c
}

// handleSubmitResult returns the reply for the result of a submission's commit,
// and adds the job if the commit was applied.
func (s *Shard) handleSubmitResult(now time.Time, spec task.Spec, r infra.CommitResult) submitReply {
	switch r.Status {
	case infra.CommitApplied:
		return s.acceptJob(now, spec, r.Version)
	case infra.CommitNotApplied:
		return submitReply{Code: submitRefused, Reason: ReasonStoreUnavailable}
	case infra.CommitConflict:
		return s.conflictReply(spec, r.Conflicts)
	default:
		return submitReply{Code: submitUnknown, Status: Status{ID: spec.ID, Shard: s.name}, Reason: ReasonAnswerLost}
	}
}

// acceptJob adds a durable job to the shard.
func (s *Shard) acceptJob(now time.Time, spec task.Spec, version uint64) submitReply {
	j := &job{rec: task.New(spec), version: version, queuedAt: now}
	s.jobs[spec.ID] = j
	s.enqueue(now, j)
	return submitReply{Code: submitAccepted, Status: s.status(j), Load: s.pending}
}

// conflictReply returns the reply to a submission whose commit had conflicts.
func (s *Shard) conflictReply(spec task.Spec, conflicts []infra.Row) submitReply {
	for _, row := range conflicts {
		if spec.Key == "" || row.Key != idempotencyKey(spec.Team, spec.Key) {
			continue
		}
		var owner idempotencyRow
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
