// Package journal batches small changes of the table into few transactions
// (group commit). One transaction is in flight at a time; entries appended
// meanwhile are queued for the next one.
//
// Each entry is applied atomically. If the reply to a commit is lost, the journal
// reads its own row, which holds the number of its last commit, before it
// retries; no entry is applied twice.
//
// Entries that write the same row go into separate transactions, in the order in
// which they were appended.
package journal
