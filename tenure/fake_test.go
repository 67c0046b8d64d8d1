package tenure

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/platform"
)

// fakeTable is a table in memory that can be down.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	down    bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeTable) Commit(_ context.Context, tx platform.Transaction) platform.CommitResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.CommitResult{Status: platform.CommitNotApplied}
	}
	var conflicts []platform.Row
	for _, c := range tx.Conditions {
		if row := f.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		return platform.CommitResult{Status: platform.CommitConflict, Conflicts: conflicts}
	}
	f.version++
	for _, w := range tx.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.version}
	}
	return platform.CommitResult{Status: platform.CommitApplied, Version: f.version}
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// fakePeers is a Transport and a Mux for each host of one process.
type fakePeers struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
}

// fakePeer is the end of one host.
type fakePeer struct {
	net  *fakePeers
	host string
}

func (p fakePeer) Handle(method peer.Method, h peer.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.handlers[p.host] == nil {
		p.net.handlers[p.host] = map[peer.Method]peer.Handler{}
	}
	p.net.handlers[p.host][method] = h
}

func (p fakePeer) Call(ctx context.Context, host string, method peer.Method, request, reply any) peer.Result {
	p.net.mu.Lock()
	h := p.net.handlers[host][method]
	p.net.mu.Unlock()
	if h == nil {
		return peer.Result{Kind: outcome.NotRun, Err: peer.ErrUnknownPeer}
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return peer.Result{Kind: outcome.NotRun, Err: err}
	}
	value, err := h(ctx, p.host, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return peer.Result{Err: err}
	}
	body, err = msgpack.Marshal(value)
	if err == nil && reply != nil {
		err = msgpack.Unmarshal(body, reply)
	}
	if err != nil {
		return peer.Result{Err: err}
	}
	return peer.Result{Kind: outcome.Answered}
}
