package configstore

import (
	"slices"

	"github.com/fireflygate/fireflygate/settings"
)

// Current is the configuration in force on this host.
type Current struct {
	Head Head
	// Content is the policy's text; empty for version 0.
	Content string
	// Settings is the policy combined with this process's own settings.
	Settings settings.Settings
}

// clone returns a deep copy.
func (c Current) clone() Current {
	c.Head.ChangedKeys = slices.Clone(c.Head.ChangedKeys)
	c.Settings = c.Settings.Clone()
	return c
}
