package configstore

import "github.com/fireflygate/fireflygate/settings"

// parsedPolicy is a policy with the hash of its text.
type parsedPolicy struct {
	hash   string
	policy settings.Settings
}
