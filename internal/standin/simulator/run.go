package simulator

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"github.com/gravitational/trace"

	"banyanquay/internal/recorder"
)

// Setup describes one simulation.
type Setup struct {
	Pattern Pattern
	Policy  Policy
	Seed    uint64
	// Recorder receives the nodes' log lines; nil discards them.
	Recorder *recorder.Recorder
}

// SimulateAll runs simulations in fake time, passes their results on and ends the
// process. Fake time is only available to the function of a test, and the test runner
// that this needs exits the process when it ends.
func SimulateAll(setups []Setup, handle func(results []Result) error) error {
	devNull, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return trace.Wrap(err)
	}
	// The test runner's own output is discarded.
	stdout := os.Stdout
	os.Stdout = devNull
	test := testing.InternalTest{Name: "plays", F: func(t *testing.T) {
		results := make([]Result, 0, len(setups))
		for _, p := range setups {
			synctest.Test(t, func(*testing.T) { results = append(results, Simulate(p)) })
		}
		os.Stdout = stdout
		defer func() { os.Stdout = devNull }()
		if err := handle(results); err != nil {
			_, _ = os.Stderr.WriteString("standin: " + err.Error() + "\n")
			t.Fail()
		}
	}}
	testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{test}, nil, nil)
	return nil
}
