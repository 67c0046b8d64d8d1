package design

import . "goa.design/goa/v3/dsl"

var _ = Service("calls", func() {
	Description("Interactive requests from callers to the endpoints of a service.")
	problemErrors()
	HTTP(func() { problemResponses() })

	Method("call", func() {
		Description("Pass one request to an endpoint of the service and its whole answer back. " +
			"The fireflygate-outcome header of the answer is answered, not_run or unknown.")
		Payload(func() {
			Attribute("service", String, "Name of the service.", func() {
				Pattern(`^[a-z0-9][a-z0-9-]{0,62}$`)
			})
			Attribute("path", String, "Path below the service.")
			Attribute("idempotency_key", String, "Key that makes a non-idempotent request run at most once, however often it is sent.", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("timeout_ms", Int64, "Milliseconds from arrival within which the caller wants its answer.", func() {
				Minimum(1)
				Maximum(600000)
			})
			Required("service", "path")
		})
		Result(func() {
			Attribute("status", Int, "HTTP status given by the endpoint.")
			Attribute("outcome", String, "Always answered: other outcomes are errors.")
			Required("status", "outcome")
		})
		HTTP(func() {
			GET("/call/{service}/{*path}")
			POST("/call/{service}/{*path}")
			PUT("/call/{service}/{*path}")
			PATCH("/call/{service}/{*path}")
			DELETE("/call/{service}/{*path}")
			Header("idempotency_key:Idempotency-Key")
			Header("timeout_ms:Fireflygate-Timeout-Ms")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("status:Fireflygate-Endpoint-Status")
				Header("outcome:Fireflygate-Outcome")
			})
		})
	})
})
