// Command standin2 runs the scripts of the second review: it has the stand-ins of the platform's
// store, of servers and of clients, and starts the nodes as separate processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unable  = 2
	usage   = "usage: standin2 CASE PROGRAM RECORD"
	argsLen = 4
)

// scenario is a case: it returns whether the rule was broken.
type scenario func(f *fleet, trouble bool) (bool, error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"departure": departure,
	"crash":     crash,
	"stream":    crashStream,
}

func main() {
	if len(os.Args) == argsLen && os.Args[1] == "serve" {
		os.Exit(serveChild(os.Args[2], os.Args[3]))
	}
	os.Exit(runCase())
}

// runCase runs the case that the arguments name.
func runCase() int {
	if len(os.Args) != argsLen || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return unable
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		return unable
	}
	f, err := newFleet(rec, program, dir)
	if err != nil {
		rec.say("can't run: %v", err)
		return unable
	}
	defer f.stopAll()
	bad, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("can't run: %v", err)
		return unable
	case bad:
		rec.say("the rule was broken")
		return broken
	}
	rec.say("the rule held")
	return held
}
