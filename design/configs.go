package design

import . "goa.design/goa/v3/dsl"

var configVersion = Type("ConfigVersion", func() {
	Description("One accepted configuration.")
	Attribute("version", Int64, "Version number; a later one is always higher.")
	Attribute("hash", String, "Content hash of the merged configuration.")
	Attribute("author", String, "Who applied it.")
	Attribute("applied_unix_ms", Int64, "When it was accepted, in Unix milliseconds.")
	Attribute("differs", ArrayOf(String), "Keys that differ from the version before.")
	Required("version", "hash", "author", "applied_unix_ms")
})

var zoneChange = Type("ZoneChange", func() {
	Description("A change of one availability zone.")
	Attribute("zone", String, "Availability zone.", func() { MinLength(1) })
	Attribute("author", String, "Who asks.")
	Required("zone", "author")
})

var _ = Service("configs", func() {
	Description("Configuration kept by the platform and in force on every entry host.")
	problemErrors()
	HTTP(func() { problemResponses() })

	Method("apply", func() {
		Description("Replace the configuration if the base version is still the newest.")
		Payload(func() {
			Attribute("base", Int64, "Version that the change was made from.", func() { Minimum(0) })
			Attribute("author", String, "Who applies it.")
			Attribute("dry_run", Boolean, "Validate and compare only.")
			Attribute("content", String, "The merged configuration, as TOML.")
			Required("base", "author", "content")
		})
		Result(configVersion)
		HTTP(func() {
			POST("/config")
			Response(StatusOK)
		})
	})
	Method("show", func() {
		Description("Show the configuration in force here.")
		Result(func() {
			Extend(configVersion)
			Attribute("content", String, "The merged configuration, as TOML.")
			Required("content")
		})
		HTTP(func() {
			GET("/config")
			Response(StatusOK)
		})
	})
	Method("versions", func() {
		Description("List accepted configurations, newest first.")
		Result(ArrayOf(configVersion))
		HTTP(func() {
			GET("/config/versions")
			Response(StatusOK)
		})
	})
	Method("close_zone", func() {
		Description("Close an availability zone: no new work begins there until it is opened. Makes a new version.")
		Payload(zoneChange)
		Result(configVersion)
		HTTP(func() {
			POST("/zones/{zone}/close")
			Response(StatusOK)
		})
	})
	Method("open_zone", func() {
		Description("Open a closed availability zone. Makes a new version.")
		Payload(zoneChange)
		Result(configVersion)
		HTTP(func() {
			POST("/zones/{zone}/open")
			Response(StatusOK)
		})
	})
	Method("rollback", func() {
		Description("Accept the content of an older version again, as a new and higher version.")
		Payload(func() {
			Attribute("base", Int64, "Version that is expected to be the newest.")
			Attribute("to", Int64, "Version whose content is wanted.")
			Attribute("author", String, "Who asks.")
			Required("base", "to", "author")
		})
		Result(configVersion)
		HTTP(func() {
			POST("/config/rollback")
			Response(StatusOK)
		})
	})
})
