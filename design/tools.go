package design

import (
	_ "goa.design/goa/v3/codegen/generator" // pins the generator that `make generate` runs
)
