// Package encoder encodes and decodes typed messages as CBOR or JSON.
package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Limits of a decoded CBOR message.
const (
	maxNesting  = 16
	maxElements = 1 << 17
)

// The modes are built once. Their options are constants, so building can't fail.
var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		// Values from outside, such as headers in ISO 8859-1, pass between nodes unchanged.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode())
)

// must panics if the library rejects constant options.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// CBOR encodes v in CBOR's core deterministic encoding.
func CBOR[T any](v T) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, trace.Wrap(err, "encoding %T as CBOR", v)
}

// FromCBOR decodes one CBOR message of type T.
func FromCBOR[T any](data []byte) (T, error) {
	var v T
	err := decMode.Unmarshal(data, &v)
	return v, trace.Wrap(err, "decoding %T from CBOR", v)
}

// JSON encodes v as JSON.
func JSON[T any](v T) ([]byte, error) {
	data, err := json.Marshal(v)
	return data, trace.Wrap(err, "encoding %T as JSON", v)
}

// FromJSON decodes exactly one JSON value of type T and ignores unknown
// fields.
func FromJSON[T any](data []byte) (T, error) {
	return fromJSON[T](json.NewDecoder(bytes.NewReader(data)))
}

// FromStrictJSON decodes exactly one JSON value of type T and rejects unknown
// fields.
func FromStrictJSON[T any](data []byte) (T, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return fromJSON[T](dec)
}

// fromJSON decodes one value and rejects trailing data.
func fromJSON[T any](dec *json.Decoder) (T, error) {
	var v T
	if err := dec.Decode(&v); err != nil {
		return v, trace.BadParameter("decoding %T from JSON: %v", v, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, trace.BadParameter("decoding %T from JSON: trailing data after the value", v)
	}
	return v, nil
}
