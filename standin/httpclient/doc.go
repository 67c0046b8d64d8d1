// Package httpclient provides clients of the platform's services and of workers,
// using JSON over HTTP. Its types implement the interfaces of package infra and are
// safe for concurrent use.
package httpclient
