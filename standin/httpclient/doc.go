// Package httpclient speaks to the platform's services and to workers over
// JSON and HTTP. Its types implement the interfaces of package platform and
// are safe for concurrent use.
package httpclient
