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

// Limits of the store, as the platform's pages give them.
const (
	rowBytes    = 65536   // row_bytes of the settings
	callBytes   = 1 << 20 // a call holds at most 1 MB
	callEntries = 100     // and at most 100 entries
	pageRows    = 500
	txTime      = 5 * time.Millisecond // tx_ms
	answerTime  = 4 * time.Millisecond
)

// row is a row on the wire. In a condition, Version is the version that it must have.
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
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// store is the platform's metadata store: linearizable, and it loses nothing.
type store struct {
	rec     *record
	started time.Time
	tx      sync.Mutex // a part handles one transaction after another

	mu      sync.Mutex
	rows    map[rowName]row
	version uint64
	changed chan struct{}
	// refused counts, by reason, the calls refused for their size; applied counts the others.
	refused map[string]int
	applied int
	// largest is the size of the largest value that was stored.
	largest int
}

func newStore(rec *record) *store {
	return &store{rec: rec, started: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{}), refused: map[string]int{}}
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

// put writes a row of the operator or of a minion.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Value: text}}, nil)
}

// write applies changes as one transaction; s.mu must be held.
func (s *store) write(writes, removes []row) {
	s.version++
	for _, w := range writes {
		w.Version, w.Deleted = s.version, false
		s.rows[w.name()] = w
		s.largest = max(s.largest, len(w.Value))
	}
	for _, r := range removes {
		s.rows[r.name()] = row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) versionOf(n rowName) uint64 {
	if r := s.rows[n]; !r.Deleted {
		return r.Version
	}
	return 0
}

// tooLarge returns why the store takes a call by no means, empty if it does.
func tooLarge(tx *transaction) string {
	size := 0
	for i := range tx.Writes {
		size += len(tx.Writes[i].Value)
		if n := len(tx.Writes[i].Value); n > rowBytes {
			return "the value of " + tx.Writes[i].Key + " has " + strconv.Itoa(n) + " bytes, row_bytes is " + strconv.Itoa(rowBytes)
		}
	}
	if size > callBytes {
		return "a call of " + strconv.Itoa(size) + " bytes"
	}
	if n := len(tx.Conditions) + len(tx.Writes) + len(tx.Removes); n > callEntries {
		return "a call of " + strconv.Itoa(n) + " entries"
	}
	return ""
}

func (s *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.serveTx(w, r, host) })
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	return mux
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request, host string) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if why := tooLarge(&tx); why != "" {
		s.mu.Lock()
		first := s.refused[why] == 0
		s.refused[why]++
		s.mu.Unlock()
		if first {
			s.rec.add("store: 400 for a call of %s: %s", host, why)
		}
		time.Sleep(answerTime)
		http.Error(w, why, http.StatusBadRequest)
		return
	}
	operators := func(r row) bool { return r.Table == "op" || r.Table == "servers" }
	if slices.ContainsFunc(tx.Writes, operators) || slices.ContainsFunc(tx.Removes, operators) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	status, a := s.commit(&tx)
	writeJSON(w, status, a)
}

func (s *store) commit(tx *transaction) (int, rowsAnswer) {
	s.tx.Lock()
	defer s.tx.Unlock()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsAnswer{Rows: []row{}}
	status := http.StatusOK
	for _, c := range tx.Conditions {
		if s.versionOf(c.name()) != c.Version {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		s.write(tx.Writes, tx.Removes)
		s.applied++
	} else {
		for _, c := range tx.Conditions {
			if s.versionOf(c.name()) > 0 {
				a.Rows = append(a.Rows, s.rows[c.name()])
			}
		}
	}
	a.Version, a.NowMS = s.version, s.now()
	return status, a
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit := pageRows
	if n := number(q, "limit"); n > 0 {
		limit = min(limit, int(n))
	}
	table, part, from, to := q.Get("table_name"), q.Get("part"), q.Get("from_rev"), q.Get("target")
	s.mu.Lock()
	all := []row{}
	for _, x := range s.rows {
		if x.Table == table && x.Part == part && !x.Deleted && x.Key >= from && (to == "" || x.Key < to) {
			all = append(all, x)
		}
	}
	a := rowsAnswer{Version: s.version, NowMS: s.now()}
	s.mu.Unlock()
	slices.SortFunc(all, func(x, y row) int { return cmp.Compare(x.Key, y.Key) })
	n, size := 0, 0
	for n < len(all) && n < limit && (n == 0 || size+len(all[n].Value) <= callBytes) {
		size += len(all[n].Value)
		n++
	}
	a.Rows, a.HasMore = all[:n], n < len(all)
	writeJSON(w, http.StatusOK, a)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	timeout := time.NewTimer(time.Duration(number(q, "wait_ms")) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		a, changed := s.changes(q.Get("table_name"), uint64(number(q, "after"))) //nolint:gosec // not negative
		if len(a.Rows) > 0 || !waiting {
			writeJSON(w, http.StatusOK, a)
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

func (s *store) changes(table string, after uint64) (rowsAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []row{}
	for _, x := range s.rows {
		if x.Table == table && x.Version > after {
			all = append(all, x)
		}
	}
	slices.SortFunc(all, func(x, y row) int { return cmp.Compare(x.Version, y.Version) })
	return rowsAnswer{Rows: all, Version: s.version, NowMS: s.now()}, s.changed
}

func number(q url.Values, key string) int64 {
	n, err := strconv.ParseInt(q.Get(key), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}
