package quarantiner

import "testing"

func TestFingerprint(t *testing.T) {
	base := NewFingerprint("org", "GET", "a.example", "/x/1", []byte("body"))
	if got, want := NewFingerprint("org", "GET", "a.example", "/x/1", []byte("body")), base; got != want {
		t.Errorf("a repeat: got %v, want %v", got, want)
	}
	others := map[string]Fingerprint{
		"another caller":                NewFingerprint("org2", "GET", "a.example", "/x/1", []byte("body")),
		"another method":                NewFingerprint("org", "PUT", "a.example", "/x/1", []byte("body")),
		"another host":                  NewFingerprint("org", "GET", "b.example", "/x/1", []byte("body")),
		"another target":                NewFingerprint("org", "GET", "a.example", "/x/2", []byte("body")),
		"another body":                  NewFingerprint("org", "GET", "a.example", "/x/1", []byte("bodies")),
		"the same bytes, split anew":    NewFingerprint("org", "GET", "a.example/", "x/1", []byte("body")),
		"the same bytes, in the body":   NewFingerprint("org", "GET", "a.example", "/x/", []byte("1body")),
		"the same bytes, in the caller": NewFingerprint("orgG", "ET", "a.example", "/x/1", []byte("body")),
	}
	seen := map[Fingerprint]string{base: "the first request"}
	for name, f := range others {
		if same, ok := seen[f]; ok {
			t.Errorf("%s has the fingerprint of %s", name, same)
		}
		seen[f] = name
	}
}
