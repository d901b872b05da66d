package commander

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/describer"
	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/administrator"
)

// diffVerb compares a file with what is in force.
type diffVerb struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"the template, .toml or .json"`
}

func (*diffVerb) examples() string {
	return "  banyanquay diff acme.toml\n"
}

// difference is one field that differs.
type difference struct {
	Field string `json:"field"`
	// Old and New are JSON values, empty where the field is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// differences is the JSON output of diff.
type differences struct {
	Organisation string             `json:"organisation"`
	Revision     describer.Revision `json:"revision"`
	Differences  []difference       `json:"differences"`
}

func (v *diffVerb) run(ctx context.Context, s session) error {
	t, err := readTemplate(v.File)
	if err != nil {
		return err
	}
	doc, err := get[administrator.OrganisationDocument](ctx, s.client, organisationPath(t.Name))
	if err != nil {
		return err
	}
	out := differences{Organisation: t.Name, Revision: doc.Revision}
	if out.Differences, err = compare(doc.Template, t); err != nil {
		return err
	}
	if s.json {
		return s.printJSON(out)
	}
	say(s.cfg.Stdout, "%s is at revision %d, %d fields differ\n", out.Organisation, out.Revision, len(out.Differences))
	for _, d := range out.Differences {
		say(s.cfg.Stdout, "  %s: %s -> %s\n", d.Field, orNone(d.Old), orNone(d.New))
	}
	return nil
}

// orNone shows an absent value.
func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// compare lists the fields that differ between two templates.
func compare(old, wanted describer.Template) ([]difference, error) {
	a, err := flatten(old)
	if err != nil {
		return nil, err
	}
	b, err := flatten(wanted)
	if err != nil {
		return nil, err
	}
	list := []difference{}
	all := maps.Clone(a)
	maps.Copy(all, b)
	for _, field := range slices.Sorted(maps.Keys(all)) {
		if a[field] != b[field] {
			list = append(list, difference{Field: field, Old: a[field], New: b[field]})
		}
	}
	return list, nil
}

// flatten returns a template's leaves as JSON by their paths.
func flatten(t describer.Template) (map[string]string, error) {
	data, err := encoder.JSON(t)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tree, err := encoder.FromJSON[any](data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	leaves := make(map[string]string)
	return leaves, addLeaves(leaves, "", reflect.ValueOf(tree))
}

// addLeaves adds the leaves below a JSON value.
func addLeaves(leaves map[string]string, path string, v reflect.Value) error {
	for v.Kind() == reflect.Interface {
		v = v.Elem()
	}
	switch v.Kind() {
	case reflect.Invalid:
		return nil
	case reflect.Map:
		for _, key := range v.MapKeys() {
			if err := addLeaves(leaves, strings.TrimPrefix(path+"."+key.String(), "."), v.MapIndex(key)); err != nil {
				return err
			}
		}
		return nil
	case reflect.Slice:
		for i := range v.Len() {
			if err := addLeaves(leaves, fmt.Sprintf("%s[%d]", path, i), v.Index(i)); err != nil {
				return err
			}
		}
		return nil
	default:
		data, err := encoder.JSON(v.Interface())
		leaves[path] = string(data)
		return err
	}
}
