//go:build review

// Command trials runs cases of the review: it starts balancers as processes, with stand-ins of the
// platform's store, of servers and of clients in its own process, and checks one rule.
//
//	trials CASE FOLDER
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
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"download": stalledDownload,
	"stop":     stoppedUnderPipelines,
	"early":    rejectedEarly,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trials CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and ends all that it started.
func run(c func(*world) (bool, error), folder string) int {
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "trials:", err)
		return exitNotRun
	}
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		broken, err := c(w)
		switch {
		case err != nil:
			w.note("not run: %v", err)
			result <- exitNotRun
		case broken:
			w.note("result: the rule was broken")
			result <- exitBroken
		default:
			w.note("result: the rule held")
			result <- exitHeld
		}
	}()
	select {
	case code := <-result:
		return code
	case <-signals:
		w.note("not run: ended by a signal")
	case <-time.After(longest):
		w.note("not run: took longer than %v", longest)
	}
	return exitNotRun
}
