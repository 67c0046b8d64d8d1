// Command standins3 runs one case of the third review: it starts entry hosts as
// processes, plays the store, the minions and the clients beside them, and judges what
// these have seen. It exits with 1 if the rule was broken, with 0 if it held and with 2
// if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
)

// scenario plays a case with or without its disruption, and returns what broke the rule,
// empty if nothing did.
type scenario func(w *world, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		names := make([]string, 0, len(scenarios))
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standins3 CASE RECORD\ncases: %s\n", strings.Join(names, ", "))
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, path string, trouble bool) int {
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.close()
		os.Exit(2)
	}()
	w.note("case %s, disruption %v", name, trouble)
	broken, err := scenarios[name](w, trouble)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		w.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	default:
		w.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
