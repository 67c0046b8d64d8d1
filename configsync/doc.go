// Package configsync decides how the versions of a configuration reach every host:
// which of two is newer, when a host reads the store again, which peers it asks, when a
// version is in force, and what a host that starts while the store is away may take. Its
// types do no I/O, start no goroutine and read no clock.
package configsync
