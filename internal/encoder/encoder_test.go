package encoder

import (
	"bytes"
	"reflect"
	"testing"
	"time"
)

// sample has all kinds of fields that occur in messages.
type sample struct {
	Name    string
	Number  uint64
	Signed  int64
	Ratio   float64
	At      time.Time
	Data    []byte
	List    []string
	Table   map[string]sample
	Pointer *sample
	Any     any
}

// FuzzFromCBOR feeds arbitrary bytes to the decoder. A message that it accepts must
// encode to the same bytes before and after a round trip.
func FuzzFromCBOR(f *testing.F) {
	seed, err := CBOR(sample{Name: "a", List: []string{"b"}, Pointer: &sample{Data: []byte{1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add(seed[:len(seed)/2])
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // an array of 2^64-1 elements
	f.Add([]byte{0x5f})                                                 // an unterminated byte string
	f.Add(bytes.Repeat([]byte{0x81}, 1000))                             // deep nesting
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := FromCBOR[sample](data)
		if err != nil {
			return
		}
		first, err := CBOR(v)
		if err != nil {
			return
		}
		again, err := FromCBOR[sample](first)
		if err != nil {
			t.Fatalf("decoding what was encoded: %v", err)
		}
		second, err := CBOR(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Errorf("got %x, %v the second time, want %x", second, err, first)
		}
	})
}

func TestCBORLimits(t *testing.T) {
	for name, data := range map[string][]byte{
		"nesting":     bytes.Repeat([]byte{0x81}, maxNesting+1),
		"array":       {0x9a, 0x00, 0x02, 0x00, 0x01},
		"map":         {0xba, 0x00, 0x02, 0x00, 0x01},
		"data behind": {0x01, 0x01},
		"cut off":     {0x62, 'a'},
	} {
		if got, err := FromCBOR[any](data); err == nil {
			t.Errorf("%s: got %v, want an error", name, got)
		}
	}
}

func TestOneJSONValue(t *testing.T) {
	for text, ok := range map[string]bool{`1`: true, ` 1 `: true, `1 2`: false, `1}`: false, ``: false, `"1"`: false} {
		if got, err := FromJSON[int]([]byte(text)); (err == nil) != ok {
			t.Errorf("%q: got %d, %v, want accepted %t", text, got, err, ok)
		}
	}
}

// Guards against values from outside, such as headers in ISO 8859-1, that make a message
// between nodes undecodable.
func TestStringsThatAreNotUTF8(t *testing.T) {
	want := sample{Name: "Best\xe4tigung", List: []string{"\xff"}, Table: map[string]sample{"\xe4": {Name: "b"}}}
	data, err := CBOR(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := FromCBOR[sample](data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}
