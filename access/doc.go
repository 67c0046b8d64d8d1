// Package access controls access to an entry host's ports with a credential
// for operators and mutual TLS between peers. Both are read from files and
// reloaded when the files change.
package access
