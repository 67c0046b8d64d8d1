package httpclient

import (
	"context"
	"net/http"

	"github.com/fireflygate/fireflygate/infra"
)

// Table is a client of the table service.
type Table struct {
	client client
	base   string
}

var _ infra.Table = (*Table)(nil)

// NewTable returns a client of the table service at baseURL, such as
// "http://127.0.0.1:7000".
func NewTable(baseURL string, c *http.Client) *Table {
	return &Table{client: newClient(c), base: baseURL}
}

// Commit applies a transaction. The request is sent at most once; the status is
// infra.CommitUnknown if it may have taken effect.
func (t *Table) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	var result infra.CommitResult
	a := t.client.call(ctx, t.base+"/commit", tx, &result)
	switch {
	case a.unprocessed:
		return infra.CommitResult{Status: infra.CommitNotApplied}
	case a.err != nil, result.Status > infra.CommitRejected:
		return infra.CommitResult{Status: infra.CommitUnknown}
	default:
		return result
	}
}

// Get returns the rows of keys, in that order, as of one version.
func (t *Table) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	var reply RowsReply
	a := t.client.call(ctx, t.base+"/get", GetRequest{Keys: keys}, &reply)
	return reply.Rows, a.err
}

// Scan returns up to limit rows, in key order, whose keys have the prefix and sort
// after the key after.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	var reply RowsReply
	in := ScanRequest{Prefix: prefix, After: after, Limit: limit}
	a := t.client.call(ctx, t.base+"/scan", in, &reply)
	return reply.Rows, a.err
}
