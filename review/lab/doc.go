//go:build review

// Command lab runs the cases of the review: it starts balancers as processes, with stand-ins of the
// platform's store, of servers, of links and of clients in its own process, and checks one rule.
//
//	lab CASE FOLDER
//
// It writes record.txt in the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 115 * time.Second

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	troubleOff   = "0"
	troubleName  = "TROUBLE"
	argumentsMin = 3
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab) (broken bool, err error){
	"stalled-answer":      stalledAnswer,
	"stop-resets":         stopResets,
	"stale-configuration": staleConfiguration,
}

func main() {
	if len(os.Args) < argumentsMin || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv(troubleName) != troubleOff))
}

// run runs a case and returns the exit code.
func run(name, folder string, trouble bool) int {
	l, err := newLab(folder, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ends:
		case <-time.After(longest):
		}
		l.record.line("not run: ended from outside or after %v", longest)
		l.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](l)
	switch {
	case err != nil:
		l.record.line("not run: %v", err)
		return exitNotRun
	case broken:
		l.record.line("verdict: the rule was broken")
		return exitBroken
	}
	l.record.line("verdict: the rule held")
	return exitHeld
}
