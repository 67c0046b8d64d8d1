// Command standins2 plays the cases of the second review that can't be put as a day of the
// users' bench. It starts entry hosts as separate processes and is their platform: the
// metadata store, the minions and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE EDGE RECORD")
		os.Exit(exitCantRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(exitCantRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	}
	trouble := true
	if v, err := strconv.ParseBool(os.Getenv("TROUBLE")); err == nil {
		trouble = v
	}
	code := playCase(play, os.Args[2], rec, trouble)
	rec.close()
	os.Exit(code)
}

// playCase plays a case, and ends all processes that it has started.
func playCase(play func(*site, bool) error, edge string, rec *record, trouble bool) int {
	s, err := newSite(edge, rec)
	if err != nil {
		rec.add("can't run: %v", err)
		return exitCantRun
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		s.close()
		os.Exit(exitCantRun)
	}()
	if err := play(s, trouble); err != nil {
		rec.add("can't run: %v", err)
		return exitCantRun
	}
	breaches := s.judge.breaches()
	for _, b := range breaches {
		rec.add("BROKEN %s", b)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	rec.add("no rule was broken")
	return exitHeld
}
