// Package demo runs a small site in one process: stand-ins for the platform,
// endpoints and workers, three entry hosts, callers and jobs. It checks the
// scheduler's promises against the records of the stand-ins and the callers.
package demo
