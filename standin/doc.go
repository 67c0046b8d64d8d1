// Package standin holds small stand-ins for what surrounds the entry hosts:
// the platform's table, objects and members, endpoints and workers. Each
// works in memory and over HTTP and takes faults at run time. They are for
// tests and the demonstration and keep nothing.
package standin
