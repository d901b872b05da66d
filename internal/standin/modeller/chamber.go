package modeller

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"github.com/gravitational/trace"

	"banyanquay/internal/recorder"
)

// Setup is a play to make.
type Setup struct {
	Pattern Pattern
	Policy  Policy
	Seed    uint64
	// Recorder writes what the nodes log; nil writes nothing.
	Recorder *recorder.Recorder
}

// PlayAll makes plays in fake time, hands their results over, and ends the process:
// outside of tests the runtime offers fake time only to the function of a test, and
// its runner ends with the process.
func PlayAll(plays []Setup, use func(results []Result) error) error {
	quiet, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return trace.Wrap(err)
	}
	// What the runner prints of its own goes nowhere.
	out := os.Stdout
	os.Stdout = quiet
	play := testing.InternalTest{Name: "plays", F: func(t *testing.T) {
		results := make([]Result, 0, len(plays))
		for _, p := range plays {
			synctest.Test(t, func(*testing.T) { results = append(results, Play(p)) })
		}
		os.Stdout = out
		defer func() { os.Stdout = quiet }()
		if err := use(results); err != nil {
			_, _ = os.Stderr.WriteString("standin: " + err.Error() + "\n")
			t.Fail()
		}
	}}
	testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{play}, nil, nil)
	return nil
}
