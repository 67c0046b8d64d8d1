package cli

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

// commands returns a commander with all commands, and the commands without the
// built-in ones of package subcommands.
func commands() (*subcommands.Commander, []subcommands.Command) {
	c := subcommands.NewCommander(flag.NewFlagSet("fireflygate", flag.ContinueOnError), "fireflygate")
	register(c)
	var own []subcommands.Command
	c.VisitCommands(func(_ *subcommands.CommandGroup, command subcommands.Command) {
		if !slices.Contains([]string{"help", "flags", "commands"}, command.Name()) {
			own = append(own, command)
		}
	})
	return c, own
}

// TestHelp checks that the usage text of each command starts with its name and
// has an example with valid flags.
func TestHelp(t *testing.T) {
	_, own := commands()
	if len(own) < 17 {
		t.Fatalf("%d commands, want at least 17", len(own))
	}
	for _, c := range own {
		if !strings.HasPrefix(c.Usage(), c.Name()) {
			t.Errorf("%s: the usage text starts with %.20q, want the command's name", c.Name(), c.Usage())
		}
		_, example, ok := strings.Cut(c.Usage(), "Example: fireflygate "+c.Name())
		if !ok {
			t.Errorf("%s: the usage text has no example", c.Name())
			continue
		}
		set := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
		c.SetFlags(set)
		example, _, _ = strings.Cut(example, ">")
		if err := set.Parse(strings.Fields(example)); err != nil {
			t.Errorf("%s: invalid flags in the example: %v", c.Name(), err)
		}
	}
}

// TestDocsListExitCodes checks that docs/OPERATORS.md lists all exit codes.
func TestDocsListExitCodes(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(page), "## Exit codes")
	if !ok {
		t.Fatal("docs/OPERATORS.md has no section \"Exit codes\"")
	}
	for code, meaning := range map[subcommands.ExitStatus]string{
		ExitOK: "0 done", ExitFailed: "1 failed", ExitUsage: "2 wrong usage", ExitNotRun: "3 not run",
		ExitUnknown: "4 unknown", ExitConflict: "5 lost",
	} {
		if int(meaning[0]-'0') != int(code) || !strings.Contains(section, meaning) {
			t.Errorf("docs/OPERATORS.md lacks %q for exit code %d", meaning, code)
		}
	}
}

func TestCompletionNamesAll(t *testing.T) {
	c, own := commands()
	script := bashCompletion(c)
	for _, command := range own {
		for _, name := range flagsOf(command) {
			_, line, _ := strings.Cut(script, "\t"+command.Name()+") words=")
			line, _, _ = strings.Cut(line, "\n")
			if !strings.Contains(line, name) {
				t.Errorf("%s: flag %s is missing from the completion: %s", command.Name(), name, line)
			}
		}
	}
}
