package infra

import (
	"encoding/base64"

	"github.com/cockroachdb/errors"
)

// TableLimits are the limits of a table service. It refuses for good what exceeds them.
type TableLimits struct {
	// RowBytes is the largest value of a row.
	RowBytes int
	// Entries is the largest number of conditions and writes of one transaction.
	Entries int
	// TransactionBytes is the largest size of one transaction as it is sent.
	TransactionBytes int
	// KeyBytes is the largest length of a key.
	KeyBytes int
}

// DefaultTableLimits returns the limits of a table service whose own aren't known.
func DefaultTableLimits() TableLimits {
	return TableLimits{RowBytes: 64 << 10, Entries: 100, TransactionBytes: 1_000_000, KeyBytes: 200}
}

// OrDefault returns the limits with those of DefaultTableLimits in place of the missing ones.
func (l TableLimits) OrDefault() TableLimits {
	d := DefaultTableLimits()
	for _, v := range []struct{ own, other *int }{
		{&l.RowBytes, &d.RowBytes}, {&l.Entries, &d.Entries}, {&l.TransactionBytes, &d.TransactionBytes}, {&l.KeyBytes, &d.KeyBytes},
	} {
		if *v.own <= 0 {
			*v.own = *v.other
		}
	}
	l.RowBytes = min(l.RowBytes, l.TransactionBytes/rowsPerTransaction)
	return l
}

// rowsPerTransaction is the number of the largest rows that a transaction has room for, in
// base64: the owner's row and those that change with one event.
const rowsPerTransaction = 8

// LimitedTable is a Table that knows its limits.
type LimitedTable interface {
	Table
	// Limits returns the limits; zero fields stand for the defaults.
	Limits() TableLimits
}

// LimitsOf returns the limits of a table service.
func LimitsOf(t Table) TableLimits {
	if l, ok := t.(LimitedTable); ok {
		return l.Limits().OrDefault()
	}
	return DefaultTableLimits()
}

// entryBytes bounds what a condition or a write takes in a transaction besides its key and
// value: names of fields, the table's name and punctuation.
const entryBytes = 128

// SentBytes bounds the size of the write in a transaction, where its value is in base64.
func (w *Write) SentBytes() int {
	return entryBytes + len(w.Key) + base64.StdEncoding.EncodedLen(len(w.Value))
}

// SentBytes bounds the size of the transaction as it is sent.
func (tx *Transaction) SentBytes() int {
	total := entryBytes
	for i := range tx.Conditions {
		total += entryBytes + len(tx.Conditions[i].Key)
	}
	for i := range tx.Writes {
		total += tx.Writes[i].SentBytes()
	}
	return total
}

// Check returns an error for the first limit that a transaction exceeds.
func (l TableLimits) Check(tx *Transaction) error {
	if n := len(tx.Conditions) + len(tx.Writes); n > l.Entries {
		return errors.Newf("a transaction of %d entries, want %d at most", n, l.Entries)
	}
	for i := range tx.Writes {
		w := &tx.Writes[i]
		if len(w.Value) > l.RowBytes {
			return errors.Newf("the value of %s has %d bytes, want %d at most", w.Key, len(w.Value), l.RowBytes)
		}
		if len(w.Key) > l.KeyBytes {
			return errors.Newf("a key of %d bytes, want %d at most: %s", len(w.Key), l.KeyBytes, w.Key)
		}
	}
	if n := tx.SentBytes(); n > l.TransactionBytes {
		return errors.Newf("a transaction of %d bytes, want %d at most", n, l.TransactionBytes)
	}
	return nil
}
