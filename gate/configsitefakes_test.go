package gate

import (
	"context"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/peer"
)

// sitePort connects a process with its peers. A process that was killed sends and
// answers nothing; a host answers only those that its membership list has.
type sitePort struct {
	h *siteHost
	p *siteProcess
}

// Handle implements peer.Mux.
func (p sitePort) Handle(m peer.Method, handler peer.Handler) {
	p.h.site.network.Port(p.h.name).Handle(m, func(ctx context.Context, from string, decode func(any) error) (any, error) {
		p.h.wait()
		if p.p.dead.Load() || !p.h.lists(from) {
			return nil, infra.ErrUnavailable
		}
		answer, err := handler(ctx, from, decode)
		if p.p.dead.Load() {
			return nil, infra.ErrUnavailable
		}
		return answer, err
	})
}

// Call implements peer.Transport.
func (p sitePort) Call(ctx context.Context, host string, m peer.Method, request, reply any) peer.Result {
	other := p.h.site.host(host)
	if p.p.dead.Load() || !p.h.reaches(other) {
		p.h.waitForEnd(ctx) // nothing answers, not even with a refusal
		return peer.Result{Err: peer.ErrUnreachable}
	}
	r := p.h.site.network.Port(p.h.name).Call(ctx, host, m, request, reply)
	if p.h.loses() || !other.reaches(p.h) {
		p.h.waitForEnd(ctx)
		return peer.Result{Err: infra.ErrUnavailable}
	}
	p.h.wait()
	if ctx.Err() != nil {
		return peer.Result{Err: ctx.Err()}
	}
	return r
}

// hostTable is the table as a host sees it.
type hostTable struct{ h *siteHost }

// Commit implements infra.Table.
func (t hostTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if t.h.tableDown.Load() {
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	r := t.h.site.table.Commit(ctx, tx)
	if t.h.loses() {
		return infra.CommitResult{Status: infra.CommitUnknown}
	}
	return r
}

// Get implements infra.Table.
func (t hostTable) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if t.h.tableDown.Load() {
		return nil, infra.ErrUnavailable
	}
	return t.h.site.table.Get(ctx, keys...)
}

// Scan implements infra.Table.
func (t hostTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if t.h.tableDown.Load() {
		return nil, infra.ErrUnavailable
	}
	return t.h.site.table.Scan(ctx, prefix, after, limit)
}

// hostObjects is the object store as a host sees it.
type hostObjects struct{ h *siteHost }

// Put implements infra.Objects.
func (o hostObjects) Put(ctx context.Context, key string, data []byte) error {
	if o.h.objectsDown.Load() {
		return infra.ErrUnavailable
	}
	return o.h.site.objects.Put(ctx, key, data)
}

// Get implements infra.Objects.
func (o hostObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if o.h.objectsDown.Load() {
		return nil, infra.ErrUnavailable
	}
	return o.h.site.objects.Get(ctx, key)
}
