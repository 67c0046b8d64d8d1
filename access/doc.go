// Package access guards an entry host's ports: a credential for operators and
// mutual TLS between peers, both read from files that may change while the
// process runs.
package access
