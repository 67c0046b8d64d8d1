package ownerdriver

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
)

// scanPage is the number of rows requested per scan.
const scanPage = 1000

// execute performs an action without blocking the control goroutine.
func (d *Driver) execute(ctx context.Context, a ownership.Action) {
	switch a := a.(type) {
	case ownership.Report:
		d.report(a)
	case ownership.Commit:
		go d.commit(ctx, a)
	case ownership.Read:
		go d.read(ctx, a)
	case ownership.AskPromise:
		go d.askPromise(ctx, a)
	case ownership.AskStopped:
		go d.askStopped(ctx, a)
	case ownership.Notify:
		go d.notify(ctx, a)
	case ownership.Drain:
		go d.drain(ctx, a)
	default:
		panic("ownerdriver: unknown action")
	}
}

// commit sends a transaction and passes its result to the machine.
func (d *Driver) commit(ctx context.Context, a ownership.Commit) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.tableTimeout())
	defer cancel()
	result := d.cfg.Table.Commit(ctx, a.Tx)
	tableAnswered := result.Status == infra.CommitApplied || result.Status == infra.CommitConflict
	d.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		d.tableAnswered(now, tableAnswered)
		return m.Committed(now, a.ID, result)
	})
}

// read reads all rows or the requested ones, and passes them to the machine.
func (d *Driver) read(ctx context.Context, a ownership.Read) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.tableTimeout())
	defer cancel()
	readRows := d.readKeys
	if a.Full {
		readRows = d.readAll
	}
	rows, err := readRows(ctx, a)
	d.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		d.tableAnswered(now, err == nil)
		if err != nil {
			return m.ReadFailed(now, a.ID)
		}
		return rows(now, m)
	})
}

// readAll scans the sessions, then the shards.
func (d *Driver) readAll(ctx context.Context, a ownership.Read) (input, error) {
	sessions, err := d.scan(ctx, ownership.SessionPrefix)
	if err != nil {
		return nil, err
	}
	shards, err := d.scan(ctx, ownership.ShardPrefix)
	return func(now time.Time, m *ownership.Machine) []ownership.Action {
		return m.RowsRead(now, a.ID, sessions, shards)
	}, err
}

// readKeys gets the rows of the given keys, then scans one page of the shards'
// rows.
func (d *Driver) readKeys(ctx context.Context, a ownership.Read) (input, error) {
	var rows []infra.Row
	if len(a.Keys) > 0 {
		var err error
		if rows, err = d.cfg.Table.Get(ctx, a.Keys...); err != nil {
			return nil, err
		}
	}
	page, err := d.cfg.Table.Scan(ctx, ownership.ShardPrefix, a.After, a.Limit)
	return func(now time.Time, m *ownership.Machine) []ownership.Action {
		return m.KeysRead(now, a.ID, rows, page, a.Limit)
	}, err
}

// scan reads all rows with a prefix.
func (d *Driver) scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	var all []infra.Row
	after := ""
	for {
		rows, err := d.cfg.Table.Scan(ctx, prefix, after, scanPage)
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

// tableAnswered records whether the table answered. It must be called in
// the control goroutine.
func (d *Driver) tableAnswered(now time.Time, ok bool) {
	if ok {
		d.lastAnswer = now
	}
}

// askPromise requests a promise from a successor and passes the reply to the
// machine.
func (d *Driver) askPromise(ctx context.Context, a ownership.AskPromise) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Lease.Renew.D())
	defer cancel()
	var reply ownership.PromiseReply
	r := d.cfg.Transport.Call(ctx, a.Host, methodPromise, a.Request, &reply)
	d.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		if r.Kind != outcome.Answered {
			return m.AskFailed(now, a.ID)
		}
		return m.PromiseReplied(now, a.ID, reply)
	})
}

// askStopped asks a previous owner whether it has stopped, and passes the reply
// to the machine.
func (d *Driver) askStopped(ctx context.Context, a ownership.AskStopped) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Lease.Renew.D())
	defer cancel()
	var reply ownership.StoppedReply
	r := d.cfg.Transport.Call(ctx, a.Host, methodStopped, a.Request, &reply)
	d.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		if r.Kind != outcome.Answered {
			return m.AskFailed(now, a.ID)
		}
		return m.StoppedReplied(now, a.ID, reply)
	})
}

// notify sends owner updates to a peer.
func (d *Driver) notify(ctx context.Context, a ownership.Notify) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Lease.Renew.D())
	defer cancel()
	d.cfg.Transport.Call(ctx, a.Host, methodOwned, ownedMessage{Owned: a.Updates}, nil)
}

// drain waits until nothing is in flight for a shard, without a time limit, and
// then notifies the machine.
func (d *Driver) drain(ctx context.Context, a ownership.Drain) {
	for {
		err := d.cfg.Drain(ctx, a.Shard)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		event.DrainFailed.Log(d.cfg.Log, slog.String("shard", a.Shard), slog.Any("error", err))
		select {
		case <-time.After(d.cfg.Lease.Renew.D()):
		case <-ctx.Done():
			return
		}
	}
	d.post(func(now time.Time, m *ownership.Machine) []ownership.Action {
		return m.Drained(now, a.Shard, a.Epoch)
	})
}
