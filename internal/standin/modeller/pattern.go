// Package modeller plays loads and troubles on the product's own routing, placement
// and retries before emulated engines, in fake time and without a network, and
// compares policies.
package modeller

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

// Pattern is a load and the troubles that meet it. It is an immutable value.
type Pattern struct {
	Name string `toml:"name"`
	// Seconds is how long callers come, after those in which engines load.
	Seconds     float64 `toml:"seconds"`
	LeadSeconds float64 `toml:"lead_seconds"`
	// Kinds are the accelerators, by name.
	Kinds    []Kind    `toml:"kinds"`
	Centres  []Centre  `toml:"centres"`
	Streams  Streams   `toml:"streams"`
	Troubles []Trouble `toml:"troubles"`
}

// Kind is a kind of accelerator.
type Kind struct {
	Name string `toml:"name"`
	// MB is the memory, and Pace and ReadPace multiply the times of steps and of
	// reading.
	MB       float64 `toml:"mb"`
	Pace     float64 `toml:"pace"`
	ReadPace float64 `toml:"read_pace"`
}

// Centre is a data centre.
type Centre struct {
	Name  string `toml:"name"`
	Nodes int    `toml:"nodes"`
	// Streams are those that begin in a second.
	Streams float64 `toml:"streams"`
	// Engines counts engines by their kind.
	Engines map[string]int `toml:"engines"`
}

// Streams is what callers ask for and what they wait for.
type Streams struct {
	Prompt Size `toml:"prompt"`
	Events Size `toml:"events"`
	// FirstMillis and GapMillis bound the first event and the pauses of a stream
	// in time, and DeadlineMillis how long callers wait.
	FirstMillis    float64 `toml:"first_ms"`
	GapMillis      float64 `toml:"gap_ms"`
	DeadlineMillis float64 `toml:"deadline_ms"`
}

// Size is a distribution of sizes: lognormal around the mean, cut at the most.
type Size struct {
	Mean   float64 `toml:"mean"`
	Spread float64 `toml:"spread"`
	Most   float64 `toml:"most"`
}

//go:generate stringer -type=TroubleKind -linecomment -output=troublekind_string.go

// TroubleKind is what a trouble does.
type TroubleKind int

// Kinds of troubles.
const (
	// Burst multiplies the streams by Factor.
	Burst TroubleKind = iota + 1 // burst
	// Crash ends engines, which come back without layers.
	Crash // crash
	// Dark is the same, but they let connections hang.
	Dark // dark
	// Slow makes engines slower by Factor.
	Slow // slow
	// Shed lets engines turn the share Factor of their requests away.
	Shed // shed
)

// UnmarshalText reads a kind by its name.
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

// Trouble is something that happens to engines or callers for some time.
type Trouble struct {
	Kind TroubleKind `toml:"kind"`
	// At and For are in seconds since the first callers.
	At  float64 `toml:"at"`
	For float64 `toml:"for"`
	// Share is that of the engines that it meets.
	Share  float64 `toml:"share"`
	Factor float64 `toml:"factor"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

//go:embed patterns/*.toml
var builtin embed.FS

// Patterns lists the names of the patterns that come with the tool.
func Patterns() []string {
	files, _ := fs.Glob(builtin, "patterns/*.toml")
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), ".toml"))
	}
	return names
}

// Load returns the pattern of a name, or of a file that ends in .toml.
func Load(name string) (Pattern, error) {
	data, err := builtin.ReadFile("patterns/" + name + ".toml")
	if strings.HasSuffix(name, ".toml") {
		data, err = os.ReadFile(name)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return Pattern{}, trace.NotFound("no pattern %q; those that come with the tool are %s",
			name, strings.Join(Patterns(), ", "))
	}
	if err != nil {
		return Pattern{}, trace.Wrap(err)
	}
	p, err := Parse(data)
	return p, trace.Wrap(err, "pattern %s", name)
}

// Parse reads and checks a pattern.
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

// check names the first bad value and what was expected.
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

// factor is how many times the usual streams come at a time.
func (p Pattern) factor(at time.Duration) float64 {
	factor := 1.0
	for _, t := range p.Troubles {
		if t.Kind == Burst && at >= seconds(t.At) && at < seconds(t.At+t.For) {
			factor *= t.Factor
		}
	}
	return factor
}
