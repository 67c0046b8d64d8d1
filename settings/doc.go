// Package settings holds the typed settings of an entry host and the
// configuration that operators apply: structs, defaults and validation in one
// place, and the loading of a folder of TOML files merged in name order.
package settings
