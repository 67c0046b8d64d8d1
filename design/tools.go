package design

import (
	_ "goa.design/goa/v3/codegen/generator" // pins the version of the generator that `make generate` runs
)
