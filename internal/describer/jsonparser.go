package describer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// ParseJSON parses a template strictly. It returns all validation errors: unknown
// and duplicate fields with their lines, and those of Check.
func ParseJSON(data []byte) (Template, []string) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return Template{}, []string{describeJSONError(data, err)}
	}
	w := walker{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	if err := w.walkValue("", reflect.TypeFor[document]()); err != nil {
		return Template{}, []string{describeJSONError(data, err)}
	}
	return d.template(w.faults)
}

// describeJSONError prefixes an error of encoding/json with its line.
func describeJSONError(data []byte, err error) string {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return fmt.Sprintf("line %d: %v", lineAt(data, syntaxErr.Offset), syntaxErr)
	case errors.As(err, &typeErr):
		return fmt.Sprintf("line %d: %s: got %s, want %s", lineAt(data, typeErr.Offset), typeErr.Field, typeErr.Value, typeErr.Type)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Sprintf("line %d: unexpected end of the document", lineAt(data, int64(len(data))))
	default:
		return err.Error()
	}
}

// lineAt returns the line number of a byte offset, starting at 1.
func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// walker walks the tokens of a JSON document and reports fields that are unknown to
// its Go type or occur twice in an object.
type walker struct {
	data   []byte
	dec    *json.Decoder
	faults faults
}

// walkValue walks one value. typ is nil below an unknown field.
func (w *walker) walkValue(field string, typ reflect.Type) error {
	token, err := w.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return w.walkObject(field, typ)
	case json.Delim('['):
		return w.walkArray(field, typ)
	}
	return nil
}

func (w *walker) walkArray(field string, typ reflect.Type) error {
	var elementType reflect.Type
	if typ != nil && typ.Kind() == reflect.Slice {
		elementType = typ.Elem()
	}
	for i := 0; w.dec.More(); i++ {
		if err := w.walkValue(fmt.Sprintf("%s[%d]", field, i), elementType); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) walkObject(field string, typ reflect.Type) error {
	seen := make(map[string]bool)
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		fieldPath := strings.TrimPrefix(field+"."+name, ".")
		line := fmt.Sprintf("line %d", lineAt(w.data, w.dec.InputOffset()))
		if seen[name] {
			w.faults.add(line, "duplicate field %s", fieldPath)
		}
		seen[name] = true
		childType, known := fieldType(typ, name)
		if !known && typ != nil {
			w.faults.add(line, "unknown field %s", fieldPath)
		}
		if err := w.walkValue(fieldPath, childType); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// fieldType returns the type of a struct's JSON field, or of a map's values.
func fieldType(typ reflect.Type, name string) (reflect.Type, bool) {
	if typ == nil {
		return nil, false
	}
	switch typ.Kind() {
	case reflect.Map:
		return typ.Elem(), true
	case reflect.Struct:
		for i := range typ.NumField() {
			tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if tag == name {
				return typ.Field(i).Type, true
			}
		}
	default:
	}
	return nil, false
}
