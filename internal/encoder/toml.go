package encoder

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// FromStrictTOML decodes a TOML document over the defaults in v. For each unknown
// field it returns a message with the line; the other fields are decoded
// nevertheless. The error is the first syntax or type error, at which decoding
// stops.
func FromStrictTOML[T any](data []byte, v T) (T, []string, error) {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&v)
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		return v, unknownFields(strictErr), nil
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return v, nil, trace.BadParameter("%s", describeDecodeError(decodeErr))
	}
	return v, nil, err
}

// unknownFields returns one message for each field that the type does not have.
func unknownFields(err *toml.StrictMissingError) []string {
	faults := make([]string, 0, len(err.Errors))
	for _, e := range err.Errors {
		line, _ := e.Position()
		faults = append(faults, fmt.Sprintf("line %d: unknown field %s", line, strings.Join(e.Key(), ".")))
	}
	return faults
}

// describeDecodeError formats a decoding error with its line, column and field.
func describeDecodeError(err *toml.DecodeError) string {
	line, column := err.Position()
	text := fmt.Sprintf("line %d, column %d: ", line, column)
	if key := strings.Join(err.Key(), "."); key != "" {
		text += key + ": "
	}
	return text + strings.TrimPrefix(err.Error(), "toml: ")
}
