package describer

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// fields returns the dotted TOML names of all fields of a struct type.
func fields(kind reflect.Type, prefix string) []string {
	var names []string
	for i := range kind.NumField() {
		f := kind.Field(i)
		name := prefix + f.Tag.Get("toml")
		switch {
		case f.Type.Kind() == reflect.Struct:
			names = append(names, fields(f.Type, name+".")...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			names = append(names, fields(f.Type.Elem(), name+".")...)
		default:
			names = append(names, name)
		}
	}
	return names
}

func TestDocsListEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	for _, name := range fields(reflect.TypeFor[document](), "") {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("docs/CONFIGURATION.md does not list the field %s", name)
		}
	}
	example := regexp.MustCompile("(?s)```toml\n(.*?)```").FindStringSubmatch(text)
	if example == nil {
		t.Fatal("docs/CONFIGURATION.md has no example")
	}
	if _, faults := ParseTOML([]byte(example[1])); len(faults) > 0 {
		t.Errorf("got faults %v in the example", faults)
	}
}
