// Package infra defines the interfaces to the platform's services (table
// service, object store, membership list, workers) and their types. Package
// standin/httpclient implements them over HTTP; package standin has in-memory
// implementations for tests and the demo.
package infra
