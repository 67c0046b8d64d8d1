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
		"services":   serviceTexts(s.Services),
		"classes":    s.Classes,
		"teams":      s.Teams,
		"events":     s.Events,
		"objectives": s.Objectives,
	}
	if s.Zones.Closed != nil {
		tree["zones"] = s.Zones
	}
	out, err := toml.Marshal(tree)
	return string(out), errors.Wrap(err, "marshal policy")
}

// ParsePolicy parses and validates a policy in one TOML text. Problems use name
// as their file.
func ParsePolicy(name, content string) (Settings, error) {
	return Parse(name, []File{{Name: name, Data: []byte(content)}}, Policy)
}

// serviceText is a service as MarshalPolicy encodes it. It omits idempotent methods
// that aren't set, for which a default applies; an empty list means that no method is
// idempotent.
type serviceText struct {
	Slots             int       `toml:"slots"`
	Connections       int       `toml:"connections"`
	IdempotentMethods *[]string `toml:"idempotent_methods,omitempty"`
}

// serviceTexts returns the services by name as MarshalPolicy encodes them.
func serviceTexts(services map[string]Service) map[string]serviceText {
	texts := make(map[string]serviceText, len(services))
	for name, s := range services {
		text := serviceText{Slots: s.Slots, Connections: s.Connections}
		if s.IdempotentMethods != nil {
			text.IdempotentMethods = &s.IdempotentMethods
		}
		texts[name] = text
	}
	return texts
}
