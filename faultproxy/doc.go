// Package faultproxy is a small TCP proxy for tests. Its faults are set at
// run time.
package faultproxy
