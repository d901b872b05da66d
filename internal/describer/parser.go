package describer

import (
	"fmt"
	"time"

	"banyanquay/internal/encoder"
)

// document is the file format of a template, in which durations are strings such as
// 30s.
type document struct {
	Name              string            `json:"name" toml:"name"`
	Model             Model             `json:"model" toml:"model"`
	Share             float64           `json:"share" toml:"share"`
	Priority          int               `json:"priority" toml:"priority"`
	KeyHashes         []string          `json:"key_hashes" toml:"key_hashes"`
	ChatNonIdempotent bool              `json:"chat_non_idempotent" toml:"chat_non_idempotent"`
	Routes            []routeDocument   `json:"routes" toml:"routes"`
	Parameters        map[string]string `json:"parameters,omitempty" toml:"parameters"`
}

// routeDocument is the file format of a route.
type routeDocument struct {
	Service       string `json:"service" toml:"service"`
	Method        string `json:"method" toml:"method"`
	Path          string `json:"path" toml:"path"`
	NonIdempotent bool   `json:"non_idempotent" toml:"non_idempotent"`
	Checks        string `json:"checks" toml:"checks"`
	Timeout       string `json:"timeout,omitempty" toml:"timeout"`
}

// ParseTOML parses a template strictly. It returns all validation errors: unknown
// fields with their lines, and those of Check.
func ParseTOML(data []byte) (Template, []string) {
	d, unknown, err := encoder.FromStrictTOML(data, document{})
	if err != nil {
		return Template{}, []string{err.Error()}
	}
	return d.template(unknown)
}

// template converts a document to a template and appends the validation errors of
// its values to f.
func (d document) template(f faults) (Template, []string) {
	t := Template{
		Name: d.Name, Model: d.Model, Share: d.Share, Priority: d.Priority,
		KeyHashes: d.KeyHashes, ChatNonIdempotent: d.ChatNonIdempotent, Parameters: d.Parameters,
	}
	for i, r := range d.Routes {
		timeout, err := parseTimeout(r.Timeout)
		if err != nil {
			f.add(fmt.Sprintf("routes[%d].timeout", i), "%q is not a duration such as 500ms or 30s", r.Timeout)
		}
		checks := r.Checks
		if checks == "" {
			checks = ChecksNothing
		}
		t.Routes = append(t.Routes, Route{
			Service: r.Service, Method: r.Method, Path: r.Path,
			NonIdempotent: r.NonIdempotent, Checks: checks, Timeout: timeout,
		})
	}
	return t, append(f, Check(t)...)
}

// parseTimeout parses a duration with its unit. An empty text gives 0, which means
// the daemon's default.
func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

// MarshalJSON encodes the template in its file format.
func (t Template) MarshalJSON() ([]byte, error) {
	d := document{
		Name: t.Name, Model: t.Model, Share: t.Share, Priority: t.Priority,
		KeyHashes: t.KeyHashes, ChatNonIdempotent: t.ChatNonIdempotent, Parameters: t.Parameters,
	}
	for _, r := range t.Routes {
		rd := routeDocument{
			Service: r.Service, Method: r.Method, Path: r.Path,
			NonIdempotent: r.NonIdempotent, Checks: r.Checks,
		}
		if r.Timeout != 0 {
			rd.Timeout = r.Timeout.String()
		}
		d.Routes = append(d.Routes, rd)
	}
	return encoder.JSON(d)
}

// UnmarshalJSON decodes the output of MarshalJSON and ignores validation errors.
func (t *Template) UnmarshalJSON(data []byte) error {
	d, err := encoder.FromJSON[document](data)
	if err != nil {
		return err
	}
	*t, _ = d.template(nil)
	return nil
}
