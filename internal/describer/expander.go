package describer

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// parameterReference matches a reference to a parameter: ${name}.
var parameterReference = regexp.MustCompile(`\$\{([^}]*)\}`)

// expander substitutes parameters in strings and records which ones are used.
type expander struct {
	parameters map[string]string
	used       map[string]bool
	faults     faults
}

// Expand returns the template with its parameters substituted, and an error message
// for each unknown or unused parameter. Values of parameters are not expanded
// again. The name and the key hashes take no parameters, because they identify the
// organisation in the stream.
func Expand(t Template) (Template, []string) {
	x := expander{parameters: t.Parameters, used: make(map[string]bool)}
	t.Model = x.expandModel(t.Model)
	t.Routes = x.expandRoutes(t.Routes)
	for _, name := range slices.Sorted(maps.Keys(t.Parameters)) {
		x.checkParameter(name)
	}
	t.Parameters = nil
	return t, x.faults
}

// checkParameter checks the name of a parameter and that it is used.
func (x *expander) checkParameter(name string) {
	field := "parameters." + name
	if !namePattern.MatchString(strings.ReplaceAll(name, "_", "-")) {
		x.faults.add(field, "the name must consist of lower-case letters, digits and inner hyphens or underscores")
	}
	if !x.used[name] {
		x.faults.add(field, "is not used")
	}
}

func (x *expander) expandString(field, value string) string {
	return parameterReference.ReplaceAllStringFunc(value, func(match string) string {
		name := match[2 : len(match)-1]
		value, ok := x.parameters[name]
		if !ok {
			x.faults.add(field, "parameter %q is unknown", name)
			return match
		}
		x.used[name] = true
		return value
	})
}

// expandStrings returns a new list with each string expanded.
func (x *expander) expandStrings(field string, values []string) []string {
	expanded := slices.Clone(values)
	for i, value := range values {
		expanded[i] = x.expandString(fmt.Sprintf("%s[%d]", field, i), value)
	}
	return expanded
}

func (x *expander) expandModel(m Model) Model {
	m.Name = x.expandString("model.name", m.Name)
	m.Version = x.expandString("model.version", m.Version)
	m.Adapter = x.expandString("model.adapter", m.Adapter)
	m.Allowed = x.expandStrings("model.allowed", m.Allowed)
	return m
}

// expandRoutes returns new routes with their strings expanded.
func (x *expander) expandRoutes(routes []Route) []Route {
	expanded := slices.Clone(routes)
	for i, r := range routes {
		field := fmt.Sprintf("routes[%d].", i)
		expanded[i].Service = x.expandString(field+"service", r.Service)
		expanded[i].Method = x.expandString(field+"method", r.Method)
		expanded[i].Path = x.expandString(field+"path", r.Path)
		expanded[i].Checks = x.expandString(field+"checks", r.Checks)
	}
	return expanded
}
