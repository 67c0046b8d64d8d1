package batch

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
)

// showReply is the status of one job.
type showReply struct {
	Found  bool   `msgpack:"f"`
	Status Status `msgpack:"s"`
}

// Cancel cancels a job. Answered means that the job will not start again; its
// Status shows whether a run is still being stopped. The kind is NotRun, with a
// reason, if nothing was changed.
func (m *Manager) Cancel(ctx context.Context, id string) (Status, outcome.Kind, string) {
	shard, reason := m.locate(ctx, id)
	if shard == "" {
		return Status{}, outcome.NotRun, reason
	}
	request := jobRequest{Shard: shard, ID: id}
	r, kind := call[cancelReply](ctx, m, shard, methodCancel, request, func(ctx context.Context) (cancelReply, bool) {
		return m.cancelLocal(ctx, request)
	})
	if kind != outcome.Answered {
		return r.Status, kind, callFailureReason(kind)
	}
	switch r.Code {
	case cancelDone, cancelNeverRan:
		return r.Status, outcome.Answered, ""
	case cancelFinished:
		return r.Status, outcome.NotRun, ReasonAlreadyFinished
	case cancelRefused:
		return r.Status, outcome.NotRun, ReasonStoreUnavailable
	case cancelMissing, cancelNotReady: // the job may be moving between shards
		return r.Status, outcome.NotRun, ReasonNoShardReady
	default:
		return r.Status, outcome.Unknown, ReasonAnswerLost
	}
}

// callFailureReason returns the reason for a call to an owner without an answer.
func callFailureReason(kind outcome.Kind) string {
	if kind == outcome.NotRun {
		return ReasonNoShardReady
	}
	return ReasonAnswerLost
}

// cancelLocal cancels a job of a local shard.
func (m *Manager) cancelLocal(ctx context.Context, r jobRequest) (cancelReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(cancelReply)) {
		o := m.shards[r.Shard]
		if o == nil {
			reply(cancelReply{Code: cancelNotReady})
			return
		}
		o.cancel(now, r.ID, reply)
	})
}

// Show returns the status of a job from its owner, or from its stored record if
// the owner does not answer.
func (m *Manager) Show(ctx context.Context, id string) (Status, outcome.Kind, string) {
	shard, reason := m.locate(ctx, id)
	if shard == "" {
		return Status{}, outcome.NotRun, reason
	}
	request := jobRequest{Shard: shard, ID: id}
	r, kind := call[showReply](ctx, m, shard, methodShow, request, func(ctx context.Context) (showReply, bool) {
		return m.showLocal(ctx, request)
	})
	if kind == outcome.Answered && r.Found {
		return r.Status, outcome.Answered, ""
	}
	return m.showStored(ctx, shard, id)
}

// showLocal returns the status of a job of a local shard.
func (m *Manager) showLocal(ctx context.Context, r jobRequest) (showReply, bool) {
	return await(ctx, m, func(_ time.Time, reply func(showReply)) {
		o := m.shards[r.Shard]
		if o == nil || o.jobs[r.ID] == nil {
			reply(showReply{})
			return
		}
		reply(showReply{Found: true, Status: o.status(o.jobs[r.ID])})
	})
}

// showStored returns the status of a job according to its record in the table.
func (m *Manager) showStored(ctx context.Context, shard, id string) (Status, outcome.Kind, string) {
	row, err := m.getRow(ctx, jobKey(shard, id))
	if err != nil {
		return Status{}, outcome.NotRun, ReasonStoreUnavailable
	}
	r, err := decodeRecord(row.Value)
	if row.Version == 0 || err != nil {
		return Status{}, outcome.NotRun, ReasonNotFound
	}
	return Status{ID: id, Shard: shard, State: r.State, Record: r}, outcome.Answered, ""
}

// locate returns the shard that holds a job, or the reason why it is not known.
func (m *Manager) locate(ctx context.Context, id string) (shard, reason string) {
	row, err := m.getRow(ctx, refKey(id))
	if err != nil {
		if local := m.localShard(ctx, id); local != "" {
			return local, ""
		}
		return "", ReasonStoreUnavailable
	}
	if row.Version == 0 {
		return "", ReasonNotFound
	}
	return string(row.Value), ""
}

// localShard returns the local shard that holds a job; empty for none.
func (m *Manager) localShard(ctx context.Context, id string) string {
	shard, _ := await(ctx, m, func(_ time.Time, reply func(string)) {
		for name, o := range m.shards {
			if o.jobs[id] != nil {
				reply(name)
				return
			}
		}
		reply("")
	})
	return shard
}

func (m *Manager) getRow(ctx context.Context, key string) (infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	rows, err := m.config.Table.Get(ctx, key)
	if err != nil {
		return infra.Row{}, err
	}
	return rows[0], nil
}
