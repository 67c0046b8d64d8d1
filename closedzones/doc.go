// Package closedzones holds which availability zones an operator has closed. The
// workers of a closed zone get no starts until the zone is opened again; what runs
// there goes on. The package does no I/O.
package closedzones
