package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Compose returns the policy with the host, platform and lease sections of the
// local process.
func Compose(local, policy Settings) Settings {
	policy.Host = local.Host
	policy.Platform = local.Platform
	policy.Lease = local.Lease
	return policy
}

// MarshalPolicy encodes the policy sections of the settings as TOML. Equal
// policies have equal encodings.
func MarshalPolicy(s Settings) (string, error) {
	tree := map[string]any{
		"calls":      s.Calls,
		"batch":      s.Batch,
		"colocation": s.Colocation,
		"services":   s.Services,
		"classes":    s.Classes,
		"teams":      s.Teams,
		"events":     s.Events,
		"objectives": s.Objectives,
	}
	out, err := toml.Marshal(tree)
	return string(out), errors.Wrap(err, "marshal policy")
}

// ParsePolicy parses and validates a policy in one TOML text. Problems use name
// as their file.
func ParsePolicy(name, content string) (Settings, error) {
	return Parse(name, []File{{Name: name, Data: []byte(content)}}, Policy)
}
