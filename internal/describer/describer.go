// Package describer defines organisations: it parses and validates the templates
// that operators publish, and matches calls to their models and routes.
package describer

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Template is the document that an operator publishes for one organisation.
type Template struct {
	// Name is the organisation's name: lower-case letters, digits, hyphens.
	Name string `json:"name" toml:"name"`
	// Model is the model that its chat requests use.
	Model Model `json:"model" toml:"model"`
	// Share is the fraction of the fleet's capacity that it may claim, over 0 and
	// at most 1.
	Share float64 `json:"share" toml:"share"`
	// Priority orders its requests in the queues of engines, 0 to 9.
	Priority int `json:"priority" toml:"priority"`
	// KeyHashes are SHA-256 hashes of its API keys in hexadecimal.
	KeyHashes []string `json:"key_hashes" toml:"key_hashes"`
	// ChatNonIdempotent marks chat requests as non-idempotent.
	ChatNonIdempotent bool `json:"chat_non_idempotent" toml:"chat_non_idempotent"`
	// Routes are the routes of plain services that it may call.
	Routes []Route `json:"routes" toml:"routes"`
	// Parameters replace ${name} references in the strings of the template.
	Parameters map[string]string `json:"parameters,omitempty" toml:"parameters"`
}

// Model identifies the model that an organisation's pipelines run.
type Model struct {
	Name    string `json:"name" toml:"name"`
	Version string `json:"version" toml:"version"`
	Adapter string `json:"adapter,omitempty" toml:"adapter"`
	// Allowed are further models that a request may name, as name or name:version.
	// Without a version, the template's version applies.
	Allowed []string `json:"allowed,omitempty" toml:"allowed"`
}

// Values of Route.Checks: how a service prevents a second execution.
const (
	// ChecksNothing means that a second call is executed again.
	ChecksNothing = "none"
	// ChecksKey means that a second call with the same key is not executed.
	ChecksKey = "key"
	// ChecksFence means that a call with a lower fence than an earlier call with
	// the same key is not executed.
	ChecksFence = "fence"
)

// Route matches calls to a plain service by method and path prefix.
type Route struct {
	Service string `json:"service" toml:"service"`
	// Method is an HTTP method, or * for all methods.
	Method string `json:"method" toml:"method"`
	// Path is a prefix of the path within the service.
	Path string `json:"path" toml:"path"`
	// NonIdempotent marks calls that must run at most once.
	NonIdempotent bool `json:"non_idempotent" toml:"non_idempotent"`
	// Checks is one of the Checks constants.
	Checks string `json:"checks" toml:"checks"`
	// Timeout limits a call; 0 means the daemon's default.
	Timeout time.Duration `json:"timeout,omitempty" toml:"timeout"`
}

// Revision counts the accepted changes of an organisation; 0 means that it
// does not exist.
type Revision uint64

// Organisation is an accepted template. It is an immutable value.
type Organisation struct {
	// Template is the published template with its parameters expanded.
	Template Template
	// Revision only increases.
	Revision Revision
}

// Model returns the model that a request names. An empty name selects the
// template's model.
func (o Organisation) Model(name string) (Model, bool) {
	m := o.Template.Model
	if name == "" || name == m.Name {
		return m, true
	}
	for _, entry := range m.Allowed {
		allowed, version, ok := strings.Cut(entry, ":")
		if !ok {
			version = m.Version
		}
		if allowed == name {
			return Model{Name: allowed, Version: version}, true
		}
	}
	return Model{}, false
}

// HashKey returns the hash under which a template lists an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
