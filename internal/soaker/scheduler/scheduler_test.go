package scheduler

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Seed: rapid.Uint64().Draw(t, "seed"), Time: time.Duration(rapid.IntRange(1, 60).Draw(t, "time")) * time.Second,
			Nodes: rapid.IntRange(1, 40).Draw(t, "nodes"), Endpoints: rapid.IntRange(1, 90).Draw(t, "endpoints"),
		}
		faults := Draw(cfg)
		if !slices.Equal(faults, Draw(cfg)) {
			t.Fatalf("a seed gives different faults")
		}
		revoked := time.Duration(0)
		for _, f := range faults {
			if f.At < 0 || f.Duration <= 0 || f.At+f.Duration > cfg.Time {
				t.Fatalf("%v is not within %v", f, cfg.Time)
			}
			if targets := max(cfg.Nodes, cfg.Endpoints); f.Target >= targets && (f.Kind != Change || f.Target >= Changes) {
				t.Fatalf("%v has no target", f)
			}
			if f.Kind == Silence && (f.Duration < minSilence || f.Duration > maxSilence || f.Share < minShare || f.Share > 1) {
				t.Fatalf("%v is not the silence of a sound endpoint", f)
			}
			if f.Kind == Endless && (f.Share <= 0 || f.Share > 1 || f.Form >= Forms || f.Duration > maxEndless || f.Callers > maxCrowd) {
				t.Fatalf("%v is not an answer without an end", f)
			}
			if f.Kind == Broken && (f.Share <= 0 || f.Share > maxEndlessShare || f.Form >= Breakages || f.Duration > maxEndless) {
				t.Fatalf("%v is not a broken answer", f)
			}
			if f.Kind == SlowBodies && (f.Callers < minSlowCallers || f.Callers > maxSlowCallers || f.Target >= cfg.Nodes) {
				t.Fatalf("%v has no callers or no node", f)
			}
			if f.Kind == Revoke && f.At < revoked {
				t.Fatalf("%v: a key is revoked that is already revoked", f)
			}
			if f.Kind == Revoke {
				revoked = f.At + f.Duration
			}
		}
	})
}

func TestKindsAreAllDrawn(t *testing.T) {
	drawn := make(map[Kind]bool)
	for seed := range uint64(40) {
		for _, f := range Draw(Config{Seed: seed, Time: 20 * time.Second, Nodes: 5, Endpoints: 9}) {
			drawn[f.Kind] = true
		}
	}
	if got, want := len(drawn), Kinds; got != want {
		t.Errorf("kinds: got %d, want %d", got, want)
	}
}

// Kinds that are drawn separately must not change a seed's other faults: a seed that once
// failed stays a regression case.
func TestLeavesChangeNoOtherFault(t *testing.T) {
	cfg := Config{Seed: 107, Time: 20 * time.Second, Nodes: 5, Endpoints: 9}
	all := Draw(cfg)
	for k := Kill; k <= Revoke; k++ {
		cfg.Only = append(cfg.Only, k)
	}
	others := Draw(cfg)
	leaves := slices.DeleteFunc(slices.Clone(all), func(f Fault) bool { return f.Kind != Leave })
	left := slices.DeleteFunc(all, func(f Fault) bool { return f.Kind >= Leave })
	if !slices.Equal(left, others) || len(leaves) == 0 {
		t.Errorf("got %v beside %d endpoints that leave, want %v", left, len(leaves), others)
	}
	for i := 1; i < len(leaves); i++ {
		if got, want := leaves[i].At-leaves[i-1].At, leaves[i-1].Duration; got < want {
			t.Errorf("an endpoint leaves %v after another that takes %v", got, want)
		}
	}
}

// The faults of kinds up to Change are those that seeds gave before Endless and SlowBodies were
// added: the digest is that of a1339c6.
func TestEndlessAnswersChangeNoOtherFault(t *testing.T) {
	h := sha256.New()
	for _, seed := range []uint64{1, 107, 9151} {
		for _, f := range Draw(Config{Seed: seed, Time: 20 * time.Second, Nodes: 5, Endpoints: 15}) {
			if f.Kind <= Change {
				_, _ = fmt.Fprintln(h, f.Kind, f.At, f.Duration, f.Target, f.Share, f.Delay)
			}
		}
	}
	if got, want := hex.EncodeToString(h.Sum(nil)[:8]), "a8d04f0846803464"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against forms of answers without an end, and of broken ones, that no seed gives.
func TestFormsAreAllDrawn(t *testing.T) {
	for kind, want := range map[Kind]int{Endless: Forms, Broken: Breakages} {
		drawn := make(map[int]bool)
		for seed := range uint64(40) {
			for _, f := range Draw(Config{Seed: seed, Time: 20 * time.Second, Nodes: 5, Endpoints: 9, Only: []Kind{kind}}) {
				drawn[f.Form] = true
			}
		}
		if got := len(drawn); got != want {
			t.Errorf("forms of %s: got %d, want %d", kind, got, want)
		}
	}
}
