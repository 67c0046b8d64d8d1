package design

import . "goa.design/goa/v3/dsl"

var leaseStatus = Type("LeaseStatus", func() {
	Description("What this entry host holds of a shard.")
	Attribute("shard", String, "Name of the shard.")
	Attribute("epoch", Int64, "Ownership epoch.")
	Attribute("share", String, "Part of the capacity it may use: none, half or full.")
	Required("shard", "epoch", "share")
})

var hostStatus = Type("HostStatus", func() {
	Description("One entry host as it sees itself.")
	Attribute("name", String, "Name of the entry host.")
	Attribute("zone", String, "Availability zone.")
	Attribute("state", String, "starting, ready or draining.")
	Attribute("build", String, "Version of the program.")
	Attribute("config_version", Int64, "Version of the configuration in force; 0 before the first, and while the host starts.")
	Attribute("store_ok", Boolean, "Whether the platform's table answered lately.")
	Attribute("leases", ArrayOf(leaseStatus), "Shards it holds.")
	Attribute("peers", MapOf(String, Int64), "Configuration version in force on each entry host, as last heard.")
	Attribute("endpoints", Int, "Endpoints it dispatches to.")
	Attribute("workers", Int, "Workers it places tasks on.")
	Attribute("pending", Int, "Jobs waiting in its shards.")
	Attribute("running", Int, "Tasks running in its shards.")
	Attribute("closed_zones", ArrayOf(String), "Availability zones that get no new work.")
	Required("name", "zone", "state", "build", "config_version", "store_ok", "leases", "peers", "endpoints", "workers", "pending", "running", "closed_zones")
})

var eventStatus = Type("EventStatus", func() {
	Description("A named start and the work due by then.")
	Attribute("name", String, "Name of the event.")
	Attribute("start_unix_ms", Int64, "Its start, in Unix milliseconds.")
	Attribute("jobs", Int, "Jobs due by the start.")
	Attribute("done", Int, "Jobs done.")
	Attribute("forecast", String, "Whether it will be met: will_meet, at_risk, met or missed.")
	Attribute("reason", String, "Why.")
	Required("name", "start_unix_ms", "jobs", "done", "forecast", "reason")
})

var burnWindow = Type("BurnWindow", func() {
	Description("How fast an error budget is spent over one window.")
	Attribute("window_ms", Int64, "Length of the window in milliseconds.")
	Attribute("good", Int64, "Calls that met the objective.")
	Attribute("total", Int64, "All calls that count.")
	Attribute("burn", Float64, "Burn rate: 1 spends the budget in just the objective's period.")
	Attribute("covered_ms", Int64, "Part of the window for which there was data.")
	Required("window_ms", "good", "total", "burn", "covered_ms")
})

var burnRule = Type("BurnRule", func() {
	Description("An alert that is raised while two windows both burn at a rate.")
	Attribute("alert", String, "The alert: ticket or page.")
	Attribute("long_ms", Int64, "Length of the longer window in milliseconds.")
	Attribute("short_ms", Int64, "Length of the shorter window in milliseconds.")
	Attribute("burn", Float64, "Burn rate that both must reach.")
	Required("alert", "long_ms", "short_ms", "burn")
})

var burnPoint = Type("BurnPoint", func() {
	Description("Calls of a few minutes.")
	Attribute("start_unix_ms", Int64, "Start, in Unix milliseconds.")
	Attribute("good", Int64, "Calls that met the objective.")
	Attribute("total", Int64, "All calls that count.")
	Required("start_unix_ms", "good", "total")
})

var burnReport = Type("BurnReport", func() {
	Description("Burn of one service-level objective.")
	Attribute("objective", String, "Name of the objective.")
	Attribute("service", String, "Service it is of.")
	Attribute("target", Float64, "Share of calls that must be good.")
	Attribute("alert", String, "Alert in force: none, ticket or page.")
	Attribute("windows", ArrayOf(burnWindow), "Burn by window, shortest first.")
	Attribute("unseen", ArrayOf(String), "Hosts of whose counts up to one flush interval is missing.")
	Attribute("rules", ArrayOf(burnRule), "Rules that raise alerts.")
	Attribute("history", ArrayOf(burnPoint), "Calls of the last hours in steps of the shortest window, oldest first.")
	Required("objective", "service", "target", "alert", "windows")
})

var _ = Service("operations", func() {
	Description("What operators ask of an entry host.")
	problemErrors()
	HTTP(func() { problemResponses() })

	Method("status", func() {
		Description("Show this entry host.")
		Result(hostStatus)
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
		})
	})
	Method("events", func() {
		Description("Show the events known here and whether each will be met.")
		Result(ArrayOf(eventStatus))
		HTTP(func() {
			GET("/events")
			Response(StatusOK)
		})
	})
	Method("report", func() {
		Description("Show the burn of every service-level objective.")
		Result(ArrayOf(burnReport))
		HTTP(func() {
			GET("/report")
			Response(StatusOK)
		})
	})
	Method("drain", func() {
		Description("Stop taking work, hand over what is held and exit once nothing is in flight.")
		HTTP(func() {
			POST("/drain")
			Response(StatusAccepted)
		})
	})
})
