// Package standin provides stand-ins for the systems that entry hosts depend on:
// the platform's table, object store and membership service, endpoints and workers.
// They run in memory or over HTTP, support fault injection at run time and persist
// nothing. Tests and the demonstration use them.
package standin
