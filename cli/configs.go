package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/settings"
)

// loadPolicy loads a settings folder and returns its policy as TOML.
func loadPolicy(dir string) (string, error) {
	s, err := settings.Load(dir, settings.Policy)
	if err != nil {
		return "", err
	}
	return settings.MarshalPolicy(s)
}

// configInForce requests the configuration in force on the target.
func configInForce(ctx context.Context, t *target) (*configs.ShowResult, error) {
	c, err := t.configs()
	if err != nil {
		return nil, err
	}
	res, err := c.Show()(ctx, nil)
	if err != nil {
		return nil, err
	}
	return res.(*configs.ShowResult), nil
}

func printVersion(t *target, v *configs.ConfigVersion) subcommands.ExitStatus {
	if t.json {
		return printJSON(v)
	}
	fmt.Printf("version %d by %s, hash %.12s\n", v.Version, v.Author, v.Hash)
	if v.Version == 1 {
		fmt.Println("  the first configuration")
		return ExitOK
	}
	for _, key := range v.Differs {
		fmt.Println("  " + key)
	}
	return ExitOK
}

// versionRow returns the table row of a version.
func versionRow(v *configs.ConfigVersion) []string {
	differs := strings.Join(v.Differs, " ")
	if v.Version == 1 {
		differs = "the first configuration"
	}
	return []string{
		fmt.Sprint(v.Version), formatTime(v.AppliedUnixMs), v.Author, fmt.Sprintf("%.12s", v.Hash), differs,
	}
}
