// Command standins plays the platform, the servers and the clients of the cases of this
// review, and starts the nodes of the system with them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by their folder.
var cases = map[string]func(b *bench, trouble bool) (int, error){
	"1": caseDetour,
	"3": caseReturningReader,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER, in the repository")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays one case and returns the exit code.
func play(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	b, err := newBench(rec, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer b.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		b.close()
		os.Exit(couldNot)
	}()
	code, err := cases[name](b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNot
	}
	rec.printf("exit code %d", code)
	return code
}
