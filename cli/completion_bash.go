package cli

import (
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
)

// bashCompletion returns a script that completes the first argument with commands
// and later arguments with the command's flags, or with files.
func bashCompletion(c *subcommands.Commander) string {
	var names []string
	var cases strings.Builder
	c.VisitCommands(func(_ *subcommands.CommandGroup, command subcommands.Command) {
		names = append(names, command.Name())
		if flags := flagsOf(command); len(flags) > 0 {
			fmt.Fprintf(&cases, "\t%s) words=%q ;;\n", command.Name(), strings.Join(flags, " "))
		}
	})
	return fmt.Sprintf(`_fireflygate() {
	local word=${COMP_WORDS[COMP_CWORD]} words=
	COMPREPLY=()
	if [ "$COMP_CWORD" -eq 1 ]; then
		COMPREPLY=($(compgen -W %q -- "$word"))
		return
	fi
	case ${COMP_WORDS[1]} in
	help) words=%q ;;
%s	esac
	COMPREPLY=($(compgen -W "$words" -- "$word"))
}
complete -o default -F _fireflygate fireflygate
`, strings.Join(names, " "), strings.Join(names, " "), cases.String())
}

// flagsOf returns the flags of a command, each with a leading dash.
func flagsOf(c subcommands.Command) []string {
	set := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(set)
	var flags []string
	set.VisitAll(func(f *flag.Flag) { flags = append(flags, "-"+f.Name) })
	return flags
}
