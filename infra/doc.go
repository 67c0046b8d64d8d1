// Package infra holds the interfaces to the outside systems that the
// platform gives (table service, object store, membership list, workers) and
// the types they speak. Implementations over HTTP are in standin/httpclient;
// in-memory ones for tests and the demo are in package standin.
package infra
