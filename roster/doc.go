// Package roster holds the latest known members of the platform's membership
// list and assigns endpoints and workers to shards. A Roster is immutable: each
// new list produces a new one. The package performs no I/O.
package roster
