package design

import . "goa.design/goa/v3/dsl"

var resourceList = Type("ResourceList", func() {
	Description("Amount of each resource of a host.")
	Attribute("milli_cpu", Int64, "Thousandths of a core.", func() { Minimum(0) })
	Attribute("memory_mb", Int64, "Megabytes of memory.", func() { Minimum(0) })
	Attribute("accelerators", Int64, "Whole accelerators.", func() { Minimum(0) })
	Required("milli_cpu", "memory_mb")
})

var jobSpec = Type("JobSpec", func() {
	Description("What a team asks to be run.")
	Attribute("key", String, "Idempotency key: submitting it again is the same job.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("team", String, "Team whose quota pays.", func() { MinLength(1) })
	Attribute("class", String, "Job class, by which sizes, run times and interference are learned.", func() { MinLength(1) })
	Attribute("qos", String, "Quality of service.", func() { Enum("batch", "latency_critical") })
	Attribute("urgent", Boolean, "Whether it may preempt and must start at once.")
	Attribute("resources", resourceList, "Declared size.")
	Attribute("run_ms", Int64, "Declared run time in milliseconds; 0 for a standing job that runs until cancelled.", func() { Minimum(0) })
	Attribute("due_unix_ms", Int64, "Time by which it must be done, in Unix milliseconds; 0 for none.")
	Attribute("event", String, "Name of the event whose start the work is due by.")
	Attribute("zones", ArrayOf(String), "Availability zones it may run in; empty for any.")
	Required("key", "team", "class", "qos", "resources")
})

var jobStatus = Type("JobStatus", func() {
	Description("A job as its shard's owner last saw it.")
	Attribute("id", String, "Identifier of the job.")
	Attribute("key", String, "Idempotency key it was submitted with.")
	Attribute("team", String, "Team whose quota pays.")
	Attribute("class", String, "Job class.")
	Attribute("state", String, "State of the task: pending, starting, running, stopping, done, cancelled or parked.")
	Attribute("epoch", Int64, "Run epoch: rises by one with each start.")
	Attribute("worker", String, "Host of its newest run, if any.")
	Attribute("reason", String, "Why it is in that state.")
	Required("id", "key", "team", "class", "state", "epoch", "worker", "reason")
})

var _ = Service("jobs", func() {
	Description("Batch work and standing jobs.")
	problemErrors()
	HTTP(func() { problemResponses() })

	Method("submit", func() {
		Description("Take a job. The answer is given once the job is durable.")
		Payload(jobSpec)
		Result(jobStatus)
		HTTP(func() {
			POST("/jobs")
			Response(StatusAccepted)
		})
	})
	Method("cancel", func() {
		Description("Cancel a job. A cancel that beats the start is told that the job did not run.")
		Payload(func() {
			Attribute("id", String, "Identifier of the job.")
			Required("id")
		})
		Result(jobStatus)
		HTTP(func() {
			DELETE("/jobs/{id}")
			Response(StatusOK)
		})
	})
	Method("show", func() {
		Description("Show a job and why it is in its state.")
		Payload(func() {
			Attribute("id", String, "Identifier of the job.")
			Required("id")
		})
		Result(jobStatus)
		HTTP(func() {
			GET("/jobs/{id}")
			Response(StatusOK)
		})
	})
})
