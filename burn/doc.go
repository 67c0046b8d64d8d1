// Package burn computes the rate at which services spend their error budgets.
// It does no I/O and reads no clock.
package burn
