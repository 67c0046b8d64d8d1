package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey is the full key of a row.
type rowKey struct{ table, part, key string }

// row is a row of the store, as it is on the wire.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	w      *world
	server *http.Server
	// address is where it listens.
	address string

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
}

// txTime is how long a transaction takes, readTime a read.
const (
	txTime   = 5 * time.Millisecond
	readTime = 2 * time.Millisecond
)

func newStore(w *world) (*store, error) {
	ln, err := listen(w.ip())
	if err != nil {
		return nil, err
	}
	s := &store{w: w, address: ln.Addr().String(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row as the operator or a minion.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: text, Ver: s.ver})
	s.announce()
}

// remove removes a row as the operator or a minion.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[rowKey{table, "", key}]; !found {
		return
	}
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.announce()
}

// write applies one row; s.mu must be held.
func (s *store) write(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

// announce wakes the feeds; s.mu must be held.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(rw http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	for _, e := range tx.Expected {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].Ver != e.Ver {
			conflicts = append(conflicts, e)
		}
	}
	if len(conflicts) > 0 {
		current := []row{}
		for _, e := range tx.Expected {
			if found, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]; ok {
				current = append(current, found)
			}
		}
		s.answer(rw, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, x := range tx.Writes {
		x.Ver = s.ver
		s.write(x)
	}
	for _, x := range tx.Remove {
		x.Ver, x.Deleted, x.Value = s.ver, true, nil
		s.write(x)
	}
	s.announce()
	s.answer(rw, http.StatusOK, nil, false)
}

// answer sends rows with the newest version and the clock; s.mu must be held.
func (s *store) answer(rw http.ResponseWriter, status int, rows []row, more bool) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"rows": rows, "has_more": more, "ver": s.ver, "now_ms": s.w.now().Milliseconds() + 1000})
}

// maxRows is the largest number of rows of an answer.
const maxRows = 500

func (s *store) get(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, x := range s.rows {
		if k.table == q.Get("table_name") && k.part == q.Get("part") && k.key >= q.Get("from_rev") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.answer(rw, http.StatusOK, found, more)
}

func (s *store) feed(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // none without a number
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, x := range s.history {
			if x.Ver > after && x.Table == q.Get("table_name") && len(found) < maxRows {
				found = append(found, x)
			}
		}
		changed := s.changed
		if len(found) > 0 || wait == 0 {
			s.answer(rw, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
