package standin

import (
	"net/http"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

// Handler serves the table on /commit, /get and /scan, and the faults on /faults.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commit", t.serveCommit)
	mux.HandleFunc("POST /get", t.serveGet)
	mux.HandleFunc("POST /scan", t.serveScan)
	serveFaults(mux, t.Set, t.Faults)
	return mux
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx infra.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	var result infra.CommitResult
	d := t.run(r.Context(), func() { result = t.commit(tx) })
	respond(w, d, &result)
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	var in httpclient.GetRequest
	if !readJSON(w, r, &in) {
		return
	}
	var out httpclient.RowsReply
	d := t.run(r.Context(), func() { out.Rows = t.get(in.Keys) })
	respond(w, d, &out)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	var in httpclient.ScanRequest
	if !readJSON(w, r, &in) {
		return
	}
	var out httpclient.RowsReply
	d := t.run(r.Context(), func() { out.Rows = t.scan(in.Prefix, in.After, in.Limit) })
	respond(w, d, &out)
}
