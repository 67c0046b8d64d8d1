package tenure

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
)

// scanPage is how many rows one scan asks for.
const scanPage = 1000

// execute carries an action out without holding up the control goroutine.
func (k *Driver) execute(ctx context.Context, a ownership.Action) {
	switch a := a.(type) {
	case ownership.Report:
		k.report(a)
	case ownership.Commit:
		go k.commit(ctx, a)
	case ownership.Read:
		go k.read(ctx, a)
	case ownership.AskPromise:
		go k.askPromise(ctx, a)
	case ownership.AskStopped:
		go k.askStopped(ctx, a)
	case ownership.Notify:
		go k.notify(ctx, a)
	case ownership.Drain:
		go k.drain(ctx, a)
	default:
		panic("tenure: unknown action")
	}
}

// commit sends a transaction and brings its result back.
func (k *Driver) commit(ctx context.Context, a ownership.Commit) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.tableTimeout())
	defer cancel()
	result := k.cfg.Table.Commit(ctx, a.Tx)
	answered := result.Status == infra.CommitApplied || result.Status == infra.CommitConflict
	k.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		k.answered(now, answered)
		return m.Committed(now, a.ID, result)
	})
}

// read brings rows back: everything, or those asked for.
func (k *Driver) read(ctx context.Context, a ownership.Read) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.tableTimeout())
	defer cancel()
	take := k.readKeys
	if a.Full {
		take = k.readAll
	}
	rows, err := take(ctx, a)
	k.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		k.answered(now, err == nil)
		if err != nil {
			return m.ReadFailed(now, a.ID)
		}
		return rows(now, m)
	})
}

// readAll scans the sessions, then the shards.
func (k *Driver) readAll(ctx context.Context, a ownership.Read) (input, error) {
	sessions, err := k.scan(ctx, ownership.SessionPrefix)
	if err != nil {
		return nil, err
	}
	shards, err := k.scan(ctx, ownership.ShardPrefix)
	return func(now time.Time, m *ownership.Machine) []ownership.Action {
		return m.RowsRead(now, a.ID, sessions, shards)
	}, err
}

// readKeys gets the rows named, then a page of the shards' rows.
func (k *Driver) readKeys(ctx context.Context, a ownership.Read) (input, error) {
	var rows []infra.Row
	if len(a.Keys) > 0 {
		var err error
		if rows, err = k.cfg.Table.Get(ctx, a.Keys...); err != nil {
			return nil, err
		}
	}
	page, err := k.cfg.Table.Scan(ctx, ownership.ShardPrefix, a.After, a.Limit)
	return func(now time.Time, m *ownership.Machine) []ownership.Action {
		return m.KeysRead(now, a.ID, rows, page, a.Limit)
	}, err
}

// scan reads every row under a prefix.
func (k *Driver) scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	var all []infra.Row
	after := ""
	for {
		rows, err := k.cfg.Table.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// answered notes whether the table answered; control goroutine only.
func (k *Driver) answered(now time.Time, ok bool) {
	if ok {
		k.lastAnswer = now
	}
}

// askPromise asks a successor for a promise and brings its reply back.
func (k *Driver) askPromise(ctx context.Context, a ownership.AskPromise) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Lease.Renew.D())
	defer cancel()
	var reply ownership.PromiseReply
	r := k.cfg.Transport.Call(ctx, a.Host, methodPromise, a.Request, &reply)
	k.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		if r.Kind != outcome.Answered {
			return m.AskFailed(now, a.ID)
		}
		return m.PromiseReplied(now, a.ID, reply)
	})
}

// askStopped asks a previous owner whether it has stopped and brings its reply
// back.
func (k *Driver) askStopped(ctx context.Context, a ownership.AskStopped) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Lease.Renew.D())
	defer cancel()
	var reply ownership.StoppedReply
	r := k.cfg.Transport.Call(ctx, a.Host, methodStopped, a.Request, &reply)
	k.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		if r.Kind != outcome.Answered {
			return m.AskFailed(now, a.ID)
		}
		return m.StoppedReplied(now, a.ID, reply)
	})
}

// notify tells a peer of owners.
func (k *Driver) notify(ctx context.Context, a ownership.Notify) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Lease.Renew.D())
	defer cancel()
	k.cfg.Transport.Call(ctx, a.Host, methodOwned, ownedMessage{Owned: a.Updates}, nil)
}

// drain waits until nothing is in flight under a shard, however long it takes.
func (k *Driver) drain(ctx context.Context, a ownership.Drain) {
	for {
		err := k.cfg.Drain(ctx, a.Shard)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		event.DrainFailed.Log(k.cfg.Log, slog.String("shard", a.Shard), slog.Any("error", err))
		select {
		case <-time.After(k.cfg.Lease.Renew.D()):
		case <-ctx.Done():
			return
		}
	}
	k.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		return m.Drained(now, a.Shard, a.Epoch)
	})
}
