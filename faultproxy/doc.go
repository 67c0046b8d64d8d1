// Package faultproxy provides a TCP proxy for tests that injects network faults.
// The faults can be changed while connections are open.
package faultproxy
