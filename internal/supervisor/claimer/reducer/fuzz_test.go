package reducer

import (
	"reflect"
	"testing"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
)

// FuzzApply puts a record of arbitrary bytes between a granted claim and its end.
// The fold must be deterministic, the claim must stay granted, and another node
// must make the same decisions from an extract.
func FuzzApply(f *testing.F) {
	key := Key{Organisation: "o", Name: "k"}
	claim := Entry{Kind: Claim, Key: key, Nonce: "n", Number: 1, Node: "a", Incarnation: "i"}
	done := Entry{Kind: Done, Key: key, Nonce: "n", Answer: &Answer{Status: 200, Body: []byte("b")}}
	for _, e := range []Entry{
		{Kind: Release, Key: key, Nonce: "n"},
		{Kind: Claim, Key: key, Nonce: "m", Number: 2, Over: "n"},
		{Kind: Void, Key: key, Nonce: "v", Number: AllAttempts},
		{Kind: Done, Key: key, Nonce: "m", Answer: &Answer{Status: 500}},
		{Kind: Unknown, Key: key, Nonce: "n"},
	} {
		f.Add(encode(f, e))
	}
	f.Add([]byte{0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		page := provider.Page{Next: 3}
		for i, bytes := range [][]byte{encode(t, claim), data, encode(t, done)} {
			page.Records = append(page.Records, provider.Record{Offset: provider.Offset(i), At: int64(1 + i), Data: bytes})
		}
		one, two := NewView(time.Hour), NewView(time.Hour)
		one.Apply(page)
		two.Apply(page)
		if !reflect.DeepEqual(one, two) {
			t.Error("got different views of the same page")
		}
		state := one.State(key)
		if got := state.Verdict("n"); got != Granted {
			t.Errorf("got verdict %v of the first claim, want it to stay granted", got)
		}
		if state.Phase == Finished && state.Answer == nil {
			t.Error("got a finished key without an answer")
		}
		partial := NewView(time.Hour)
		partial.StartAt(0, 1)
		partial.Apply(page)
		for key := range one.keys {
			assertSameDecisions(t, one, key)
			assertSameDecisions(t, partial, key)
		}
		assertSameDecisions(t, partial, Key{Organisation: "o", Name: "unknown"})
	})
}

// assertSameDecisions sends an extract of a key to another node and compares the
// decisions of both nodes on attempts of the key.
func assertSameDecisions(t *testing.T, v *View, key Key) {
	data, err := encoder.CBOR(v.Extract(key))
	if err != nil {
		t.Fatal(err)
	}
	e, err := encoder.FromCBOR[Extract](data)
	if err != nil {
		t.Fatalf("decoding an extract: %v", err)
	}
	other := e.View(time.Hour)
	for _, a := range []Attempt{{Number: 1}, {Number: 2, Issued: 1}, {First: true}, {Number: AllAttempts, Checks: "key"}} {
		a.Key = key
		got, want := other.Plan(a), v.Plan(a)
		if got.Move != want.Move || got.Code != want.Code {
			t.Errorf("key %v, attempt %+v: got plan %v %v at the other node, want %v %v", key, a, got.Move, got.Code, want.Move, want.Code)
		}
		if got, want := other.RanUpTo(a), v.RanUpTo(a); got != want {
			t.Errorf("key %v, attempt %+v: got ran %v at the other node, want %v", key, a, got, want)
		}
		for nonce := range v.keys[key].verdicts {
			got, fence := other.ClaimVerdict(a, nonce)
			if want, wantFence := v.ClaimVerdict(a, nonce); got != want || fence != wantFence {
				t.Errorf("key %v, nonce %s: got %v at the other node, want %v", key, nonce, got, want)
			}
		}
	}
}

// encode returns the data of a record with one entry.
func encode(t testing.TB, e Entry) []byte {
	data, err := encoder.CBOR(Batch{Entries: []Entry{e}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}
