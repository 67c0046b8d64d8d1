package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Compose returns the policy with the local process's own host, platform and
// lease.
func Compose(local, policy Settings) Settings {
	policy.Host = local.Host
	policy.Platform = local.Platform
	policy.Lease = local.Lease
	return policy
}

// MarshalPolicy writes the policy part of the settings as TOML, for
// configstore. Equal policies give equal text.
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

// ParsePolicy reads what MarshalPolicy writes, or any policy in one text.
func ParsePolicy(name, content string) (Settings, error) {
	return Parse(name, []File{{Name: name, Data: []byte(content)}}, Policy)
}
