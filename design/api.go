// Package design defines the HTTP API of an entry host in goa's design language.
// `make generate` generates the code in gen, which is committed so that a build
// doesn't need the generator.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("fireflygate", func() {
	Title("fireflygate")
	Description("Scheduler for colocated latency-critical and batch work.")
	Version("0.1")
	Server("fireflygate", func() {
		Services("calls", "jobs", "configs", "operations")
		Host("loopback", func() { URI("http://127.0.0.1:7100") })
	})
})

// Problem is the response body of every refused request. Its outcome tells the
// caller whether the request may have run.
var Problem = Type("Problem", func() {
	Description("Why a request was refused, after RFC 9457.")
	ErrorName("name", String, "Machine-readable kind of the problem.")
	Attribute("title", String, "One-line summary for a person.")
	Attribute("field", String, "Field of the request that is wrong, if one is.")
	Attribute("outcome", String, "Whether the request ran.", func() {
		Enum("not_run", "unknown")
	})
	Attribute("retry_after_ms", Int64, "Milliseconds after which a retry is worthwhile; 0 when a retry will not help.")
	Required("name", "title", "outcome")
})

func problemErrors() {
	Error("bad_request", Problem, "The request is malformed; it did not run.")
	Error("not_found", Problem, "The thing named is unknown; the request did not run.")
	Error("conflict", Problem, "The request clashes with an earlier one; it did not run.")
	Error("forbidden", Problem, "The credential does not allow the request; it did not run.")
	Error("unavailable", Problem, "The request was refused and did not run.")
	Error("unknown_outcome", Problem, "The request may have run.")
}

func problemResponses() {
	Response("bad_request", StatusBadRequest)
	Response("not_found", StatusNotFound)
	Response("conflict", StatusConflict)
	Response("forbidden", StatusForbidden)
	Response("unavailable", StatusServiceUnavailable)
	Response("unknown_outcome", StatusGatewayTimeout)
}
