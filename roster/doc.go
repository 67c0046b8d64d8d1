// Package roster holds the members of the platform's list as last known, and
// divides endpoints and workers into shards. It is pure: each new list gives a
// new Roster, and a Roster never changes.
package roster
