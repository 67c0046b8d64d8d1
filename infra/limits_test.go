package infra

import (
	"encoding/base64"
	"strings"
	"testing"
)

// TestLimitsCheck guards against a stand-in that takes what the table service rejects.
func TestLimitsCheck(t *testing.T) {
	l := DefaultTableLimits()
	row := func(key, bytes int) Write { return Write{Key: strings.Repeat("k", key), Value: make([]byte, bytes)} }
	many := func(n, bytes int) Transaction {
		tx := Transaction{Conditions: []Condition{{Key: "owner"}}}
		for range n {
			tx.Writes = append(tx.Writes, row(5, bytes))
		}
		return tx
	}
	for name, c := range map[string]struct {
		tx       Transaction
		rejected bool
	}{
		"largest row":   {many(1, l.RowBytes), false},
		"larger row":    {many(1, l.RowBytes+1), true},
		"most entries":  {many(l.Entries-1, 1), false},
		"more entries":  {many(l.Entries, 1), true},
		"large rows":    {many(11, l.RowBytes), false},
		"in base64":     {many(12, l.RowBytes), true},
		"longest key":   {Transaction{Writes: []Write{row(l.KeyBytes, 1)}}, false},
		"longer key":    {Transaction{Writes: []Write{row(l.KeyBytes+1, 1)}}, true},
		"longer delete": {Transaction{Writes: []Write{{Key: strings.Repeat("k", l.KeyBytes+1), Delete: true}}}, true},
	} {
		if err := l.Check(&c.tx); (err != nil) != c.rejected {
			t.Errorf("%s: %v", name, err)
		}
	}
	w := row(5, 1000)
	if n := w.SentBytes(); n < 5+base64.StdEncoding.EncodedLen(1000) {
		t.Errorf("a write counts %d bytes", n)
	}
}

// TestMissingLimits checks that limits that aren't known are the defaults, and that several of
// the largest rows fit a transaction.
func TestMissingLimits(t *testing.T) {
	if got := (TableLimits{}).OrDefault(); got != DefaultTableLimits() {
		t.Errorf("%+v", got)
	}
	if got := (TableLimits{RowBytes: 1 << 20}).OrDefault().RowBytes; got > 125_000 {
		t.Errorf("rows of %d bytes in a transaction of 1 MB", got)
	}
	if got := (TableLimits{RowBytes: 16 << 10}).OrDefault().RowBytes; got != 16<<10 {
		t.Errorf("rows of %d bytes, want the setting", got)
	}
}
