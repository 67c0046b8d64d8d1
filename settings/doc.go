// Package settings defines the settings of an entry host and the configuration
// that operators apply, with their defaults and validation. Settings are loaded
// from a folder of TOML files, which are merged in the order of their names.
package settings
