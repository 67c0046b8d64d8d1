// Package configstore stores the configuration that operators apply in the
// platform's table and object store, and puts it into force on every entry host.
// Versions only increase: a change is a compare-and-swap on its base version,
// and a host replaces the version in force only with a higher one.
package configstore
