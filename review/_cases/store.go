package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	rowBytes   = 65536                // the settings' platform.row_bytes
	txBytes    = 1 << 20              // largest transaction
	txEntries  = 100                  // most entries of a transaction
	pageRows   = 500                  // most rows of an answer
	txTime     = 5 * time.Millisecond // the settings' platform.tx_ms
	answerTime = 4 * time.Millisecond
)

// row is a row of the store, as on the wire.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

func (r *row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type transaction struct {
	Conditions []row `json:"expected_rev"`
	Writes     []row `json:"writes"`
	Removes    []row `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows,omitempty"`
	HasMore bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// store is a stand-in for the platform's metadata store in its table form.
type store struct {
	rec       *record
	startedAt time.Time
	txMu      sync.Mutex // one transaction after another

	mu      sync.Mutex
	rows    map[rowName]row
	version uint64
	changed chan struct{}
	refused int // transactions refused for their size
}

func newStore(rec *record) *store {
	return &store{rec: rec, startedAt: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	return mux
}

// put writes a row on behalf of the operator or a minion.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Value: text}}, nil)
}

// remove deletes a row on behalf of the operator or a minion.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []row{{Table: table, Key: key}})
}

// write applies changes; s.mu must be held.
func (s *store) write(writes, removes []row) {
	s.version++
	for _, w := range writes {
		w.Version, w.Deleted = s.version, false
		s.rows[w.name()] = w
	}
	for _, r := range removes {
		s.rows[r.name()] = row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.startedAt).Milliseconds() }

// sizeError returns why a transaction breaks the limits of the store, or "".
func sizeError(tx *transaction, size int64) string {
	if len(tx.Conditions)+len(tx.Writes)+len(tx.Removes) > txEntries {
		return "too many entries"
	}
	if size > txBytes {
		return "over 1 MB"
	}
	for i := range tx.Writes {
		if n := len(tx.Writes[i].Value); n > rowBytes {
			return "row " + tx.Writes[i].Key + " has " + strconv.Itoa(n) + " bytes, row_bytes is " + strconv.Itoa(rowBytes)
		}
	}
	return ""
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	operators := func(r row) bool { return r.Table == "op" || r.Table == "servers" }
	if slices.ContainsFunc(tx.Writes, operators) || slices.ContainsFunc(tx.Removes, operators) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if why := sizeError(&tx, r.ContentLength); why != "" {
		s.mu.Lock()
		s.refused++
		n := s.refused
		s.mu.Unlock()
		if n <= 5 || n%100 == 0 {
			s.rec.logf("store refuses transaction number %d over its limits with 400: %s", n, why)
		}
		http.Error(w, why, http.StatusBadRequest)
		return
	}
	s.txMu.Lock()
	time.Sleep(txTime)
	status, a := s.apply(&tx)
	s.txMu.Unlock()
	answer(w, status, a)
}

// apply applies a transaction if its conditions hold.
func (s *store) apply(tx *transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for i := range tx.Conditions {
		c := &tx.Conditions[i]
		r := s.rows[c.name()]
		if r.Deleted {
			r = row{}
		}
		holds = holds && r.Version == c.Version
		if r.Version > 0 {
			current = append(current, r)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, rowsAnswer{Rows: current, Version: s.version, NowMS: s.now()}
	}
	s.write(tx.Writes, tx.Removes)
	return http.StatusOK, rowsAnswer{Version: s.version, NowMS: s.now()}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n := number(q, "limit"); n > 0 {
		limit = min(limit, int(n))
	}
	table, part, from, to := q.Get("table_name"), q.Get("part"), q.Get("from_rev"), q.Get("target")
	time.Sleep(answerTime)
	s.mu.Lock()
	var all []row
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && !r.Deleted && r.Key >= from && (to == "" || r.Key < to) {
			all = append(all, r)
		}
	}
	a := rowsAnswer{Version: s.version, NowMS: s.now()}
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i := range all {
		if size += len(all[i].Value); len(a.Rows) == limit || (size > txBytes && len(a.Rows) > 0) {
			a.HasMore = true
			break
		}
		a.Rows = append(a.Rows, all[i])
	}
	answer(w, http.StatusOK, a)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, after := q.Get("table_name"), uint64(number(q, "after"))
	timeout := time.NewTimer(time.Duration(number(q, "wait_ms")) * time.Millisecond)
	defer timeout.Stop()
	time.Sleep(answerTime)
	for waiting := true; ; {
		s.mu.Lock()
		a := rowsAnswer{Version: s.version, NowMS: s.now()}
		for _, r := range s.rows {
			if r.Table == table && r.Version > after {
				a.Rows = append(a.Rows, r)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 || !waiting {
			slices.SortFunc(a.Rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// number returns an integer parameter of a query, 0 if there is none.
func number(q url.Values, key string) int64 {
	n, err := strconv.ParseInt(q.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
