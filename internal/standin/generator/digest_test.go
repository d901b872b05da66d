package generator

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// pass is one run of a layer at a position.
type pass struct {
	position, layer int
}

// allPasses lists the passes of a complete generation in order.
func allPasses(layers, positions int) []pass {
	var passes []pass
	for position := range positions {
		for layer := range layers {
			passes = append(passes, pass{position: position, layer: layer})
		}
	}
	return passes
}

// compute runs the passes in the given order and returns the last token.
func compute(id identity, texts []string, passes []pass) string {
	kv := map[int]digest{}
	state := digest{}
	at := -1
	for _, p := range passes {
		if p.position != at {
			at = p.position
			state = id.embed(at, texts[at])
		}
		kv[p.layer], state = id.layer(p.layer, p.position, kv[p.layer], state)
	}
	return token(state)
}

func TestMissingRepeatedOrSwappedPassChangesToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 5).Draw(t, "layers")
		positions := rapid.IntRange(1, 4).Draw(t, "positions")
		id := identity{model: "m", version: "1"}
		tokens := Expect("m", "1", layers, "a prompt", positions)
		texts := append([]string{"a prompt"}, tokens...)
		passes := allPasses(layers, positions)
		want := tokens[positions-1]
		if got := compute(id, texts, passes); got != want {
			t.Fatalf("got token %q from the whole order, want %q", got, want)
		}
		i := rapid.IntRange(0, len(passes)-1).Draw(t, "pass")
		j := rapid.IntRange(0, len(passes)-1).Draw(t, "other")
		faults := map[string][]pass{
			"missing": slices.Delete(slices.Clone(passes), i, i+1),
			"doubled": slices.Insert(slices.Clone(passes), i, passes[i]),
		}
		if i != j {
			swapped := slices.Clone(passes)
			swapped[i], swapped[j] = swapped[j], swapped[i]
			faults["swapped"] = swapped
		}
		for name, faulty := range faults {
			if got := compute(id, texts, faulty); got == want {
				t.Errorf("got the same token with pass %d %s", i, name)
			}
		}
	})
}

func TestIdentityAndPromptChangeTokens(t *testing.T) {
	want := Expect("m", "1", 3, "a prompt", 2)
	others := map[string][]string{
		"model":   Expect("n", "1", 3, "a prompt", 2),
		"version": Expect("m", "2", 3, "a prompt", 2),
		"adapter": ExpectAdapted("m", "1", "a", 3, "a prompt", 2),
		"layers":  Expect("m", "1", 4, "a prompt", 2),
		"prompt":  Expect("m", "1", 3, "a  prompt", 2),
		"border":  Expect("m1", "", 3, "a prompt", 2),
	}
	for name, got := range others {
		if got[0] == want[0] || got[1] == want[1] {
			t.Errorf("got %q with another %s, want other tokens than %q", got, name, want)
		}
	}
}

func TestActivationsRoundTrip(t *testing.T) {
	want := newActivation(identity{model: "m"}, 0, string(make([]byte, 3))+" a b c d e f g h i j k l m n o p q r")
	got, err := parseActivation(want.String())
	if err != nil {
		t.Fatalf("parsing: %v", err)
	}
	if got.state != want.state || got.words != want.words || !slices.Equal(got.blocks, want.blocks) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(got.blocks) != 1 {
		t.Errorf("got %d blocks of %d words, want 1", len(got.blocks), got.words)
	}
}
