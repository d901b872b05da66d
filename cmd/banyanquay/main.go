// Command banyanquay is the command-line tool for operators and callers.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"

	"banyanquay/internal/commander"
	"banyanquay/internal/loader"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := commander.New(config(os.Stdout, os.Stderr)).Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(code))
}

// config returns the configuration of the tool.
func config(stdout, stderr io.Writer) commander.Config {
	return commander.Config{Stdin: os.Stdin, Stdout: stdout, Stderr: stderr, CheckSettings: checkSettings}
}

// checkSettings returns all validation errors of a daemon's settings.
func checkSettings(data []byte) []string {
	_, faults := loader.Parse(data)
	return faults
}
