// Package gate wires one entry host together: it starts its parts, feeds them
// the membership list and the configuration, serves callers, peers and
// operators, and drains on a planned stop.
package gate
