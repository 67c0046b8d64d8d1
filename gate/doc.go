// Package gate assembles one entry host. It starts the components, applies the
// membership list and the configuration to them, serves callers, peers and
// operators, and drains on a planned stop.
package gate
