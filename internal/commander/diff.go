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

// diffCommand compares a template file with the version in force.
type diffCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"the template, .toml or .json"`
}

func (*diffCommand) examples() string {
	return "  banyanquay diff acme.toml\n"
}

// difference is a field whose values differ.
type difference struct {
	Field string `json:"field"`
	// Old and New are the JSON values, empty if the field is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// diffOutput is the JSON output of diff.
type diffOutput struct {
	Organisation string             `json:"organisation"`
	Revision     describer.Revision `json:"revision"`
	Differences  []difference       `json:"differences"`
}

func (c *diffCommand) run(ctx context.Context, s session) error {
	t, err := readTemplate(c.File)
	if err != nil {
		return err
	}
	doc, err := get[administrator.OrganisationDocument](ctx, s.client, organisationPath(t.Name))
	if err != nil {
		return err
	}
	out := diffOutput{Organisation: t.Name, Revision: doc.Revision}
	if out.Differences, err = compare(doc.Template, t); err != nil {
		return err
	}
	if s.json {
		return s.printJSON(out)
	}
	printf(s.cfg.Stdout, "%s is at revision %d, %d fields differ\n", out.Organisation, out.Revision, len(out.Differences))
	for _, d := range out.Differences {
		printf(s.cfg.Stdout, "  %s: %s -> %s\n", d.Field, orNone(d.Old), orNone(d.New))
	}
	return nil
}

// orNone formats a value that may be absent.
func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// compare returns the fields that differ between two templates, sorted by path.
func compare(old, wanted describer.Template) ([]difference, error) {
	oldLeaves, err := flatten(old)
	if err != nil {
		return nil, err
	}
	newLeaves, err := flatten(wanted)
	if err != nil {
		return nil, err
	}
	list := []difference{}
	all := maps.Clone(oldLeaves)
	maps.Copy(all, newLeaves)
	for _, field := range slices.Sorted(maps.Keys(all)) {
		if oldLeaves[field] != newLeaves[field] {
			list = append(list, difference{Field: field, Old: oldLeaves[field], New: newLeaves[field]})
		}
	}
	return list, nil
}

// flatten returns the leaf values of a template as JSON, keyed by their paths.
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

// addLeaves adds the leaf values below a JSON value.
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
