// Package journal groups many small changes of the table into few
// transactions. One transaction is in flight at a time; while it is, the next
// one grows. An entry is applied whole or not at all, and a lost answer is
// settled by reading the journal's own row, never by writing again blindly.
//
// Entries that touch the same row do not share a transaction: the later one
// waits for the next, in the order they were appended.
package journal
