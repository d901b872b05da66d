// Package simulator simulates patterns of load and troubles with the product's own
// routing, placement and retries on emulated engines, in fake time and without a
// network, and compares policies.
package simulator

import (
	"embed"
	"errors"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// Pattern is a load and the troubles that occur under it. It is an immutable value.
type Pattern struct {
	Name string `toml:"name"`
	// Seconds is how long streams begin, and LeadSeconds how long engines load layers
	// before the first one.
	Seconds     float64 `toml:"seconds"`
	LeadSeconds float64 `toml:"lead_seconds"`
	// Kinds are the kinds of accelerators.
	Kinds    []Kind    `toml:"kinds"`
	Centres  []Centre  `toml:"centres"`
	Streams  Streams   `toml:"streams"`
	Troubles []Trouble `toml:"troubles"`
}

// Kind is a kind of accelerator.
type Kind struct {
	Name string `toml:"name"`
	// MB is the memory in megabytes. Pace multiplies the time of steps, and PrefillPace
	// that of reading prompts.
	MB          float64 `toml:"mb"`
	Pace        float64 `toml:"pace"`
	PrefillPace float64 `toml:"read_pace"`
}

// Centre is a data centre.
type Centre struct {
	Name  string `toml:"name"`
	Nodes int    `toml:"nodes"`
	// Streams is the number of streams that begin in a second.
	Streams float64 `toml:"streams"`
	// Engines is the number of engines of each kind, by its name.
	Engines map[string]int `toml:"engines"`
}

// Streams describes the size of streams and their targets.
type Streams struct {
	Prompt Size `toml:"prompt"`
	Events Size `toml:"events"`
	// FirstMillis is the target for the time to the first event, and GapMillis that
	// for the longest pause between events. DeadlineMillis is how long callers wait.
	FirstMillis    float64 `toml:"first_ms"`
	GapMillis      float64 `toml:"gap_ms"`
	DeadlineMillis float64 `toml:"deadline_ms"`
}

// Size is a lognormal distribution of sizes with a mean and a spread, the standard
// deviation before the limit as a share of the mean. Larger sizes than Max are
// limited to it; 0 means no limit.
type Size struct {
	Mean   float64 `toml:"mean"`
	Spread float64 `toml:"spread"`
	Max    float64 `toml:"most"`
}

//go:generate stringer -type=TroubleKind -linecomment -output=troublekind_string.go

// TroubleKind is the kind of a temporary fault or load change.
type TroubleKind int

// Kinds of temporary faults and load changes.
const (
	// Burst multiplies the rate of streams by Factor.
	Burst TroubleKind = iota + 1 // burst
	// Crash kills engines, which restart without layers when the trouble ends.
	Crash // crash
	// Unresponsive is like Crash, but the engines leave connections unanswered.
	Unresponsive // dark
	// Slow multiplies the times of engines by Factor.
	Slow // slow
	// Shed makes engines reject the share Factor of their requests.
	Shed // shed
)

// UnmarshalText parses the name of a kind.
func (k *TroubleKind) UnmarshalText(text []byte) error {
	names := make([]string, 0, Shed)
	for known := Burst; known <= Shed; known++ {
		if known.String() == string(text) {
			*k = known
			return nil
		}
		names = append(names, known.String())
	}
	return trace.BadParameter("got kind %q, want one of %s", text, strings.Join(names, ", "))
}

// Trouble is a temporary fault of engines or a temporary change of the load.
type Trouble struct {
	Kind TroubleKind `toml:"kind"`
	// At is when it begins, in seconds since the first streams, and For its duration
	// in seconds.
	At  float64 `toml:"at"`
	For float64 `toml:"for"`
	// Share is the share of engines that it affects; a burst does not use it.
	Share  float64 `toml:"share"`
	Factor float64 `toml:"factor"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

//go:embed patterns/*.toml
var builtin embed.FS

// Patterns returns the names of the built-in patterns.
func Patterns() []string {
	files, _ := fs.Glob(builtin, "patterns/*.toml")
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), ".toml"))
	}
	return names
}

// Load returns the built-in pattern of a name, or the pattern in a file if the name
// ends in .toml.
func Load(name string) (Pattern, error) {
	data, err := builtin.ReadFile("patterns/" + name + ".toml")
	if strings.HasSuffix(name, ".toml") {
		data, err = os.ReadFile(name)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return Pattern{}, trace.NotFound("no pattern %q; the built-in patterns are %s",
			name, strings.Join(Patterns(), ", "))
	}
	if err != nil {
		return Pattern{}, trace.Wrap(err)
	}
	p, err := Parse(data)
	return p, trace.Wrap(err, "pattern %s", name)
}

// Parse decodes and validates a pattern.
func Parse(data []byte) (Pattern, error) {
	var p Pattern
	decoder := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return Pattern{}, trace.BadParameter("unknown fields:\n%s", strict.String())
		}
		return Pattern{}, trace.BadParameter("%v", err)
	}
	return p, p.check()
}

// check returns an error that names the first invalid value and what was expected.
func (p Pattern) check() error {
	switch {
	case p.Seconds <= 0:
		return trace.BadParameter("seconds: got %v, want more than 0", p.Seconds)
	case p.LeadSeconds <= 0:
		return trace.BadParameter("lead_seconds: got %v, want more than 0", p.LeadSeconds)
	case len(p.Centres) == 0:
		return trace.BadParameter("centres: got none, want one or more")
	case p.Streams.Prompt.Mean <= 0, p.Streams.Events.Mean <= 0:
		return trace.BadParameter("streams: got means of %v and %v, want more than 0",
			p.Streams.Prompt.Mean, p.Streams.Events.Mean)
	case p.Streams.FirstMillis <= 0, p.Streams.GapMillis <= 0, p.Streams.DeadlineMillis <= 0:
		return trace.BadParameter("streams: got bounds of %v, %v and %v ms, want more than 0",
			p.Streams.FirstMillis, p.Streams.GapMillis, p.Streams.DeadlineMillis)
	}
	for _, c := range p.Centres {
		if c.Nodes <= 0 {
			return trace.BadParameter("centre %s: got %d nodes, want 1 or more", c.Name, c.Nodes)
		}
		for kind := range c.Engines {
			if !slices.ContainsFunc(p.Kinds, func(k Kind) bool { return k.Name == kind }) {
				return trace.BadParameter("centre %s: no kind %q", c.Name, kind)
			}
		}
	}
	for i, t := range p.Troubles {
		switch {
		case t.Kind == 0:
			return trace.BadParameter("trouble %d: got no kind", i+1)
		case t.Kind != Burst && (t.Share <= 0 || t.Share > 1):
			return trace.BadParameter("trouble %d: got share %v, want more than 0 and at most 1", i+1, t.Share)
		}
	}
	return nil
}

// factor returns by how much bursts multiply the rate of streams at a time.
func (p Pattern) factor(at time.Duration) float64 {
	factor := 1.0
	for _, t := range p.Troubles {
		if t.Kind == Burst && at >= seconds(t.At) && at < seconds(t.At+t.For) {
			factor *= t.Factor
		}
	}
	return factor
}
