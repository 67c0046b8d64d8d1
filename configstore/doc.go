// Package configstore keeps the configuration that operators apply in the
// platform's services and brings it into force on every entry host. Versions
// only rise: a change is a compare-and-swap on the version that it was made
// from, and a host replaces what is in force only by a higher version.
package configstore
