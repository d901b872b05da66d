package describer

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of a template's fields.
const (
	maxNameLength       = 63
	maxIdentifierLength = 200
	maxPriority         = 9
	maxKeyHashes        = 64
	maxRoutes           = 256
	maxAllowedModels    = 64
	maxParameters       = 64
	maxTimeout          = 10 * time.Minute
	minTimeout          = 10 * time.Millisecond
	hashByteLength      = 32
)

// anyMethod is the Method of a route that matches all methods.
const anyMethod = "*"

var (
	namePattern       = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	identifierPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:/-]*[A-Za-z0-9])?$`)
	validMethods      = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions, anyMethod,
	}
	validChecks = []string{ChecksNothing, ChecksKey, ChecksFence}
)

// faults collects the validation errors of a template, each prefixed with its
// field.
type faults []string

// add appends a validation error of a field.
func (f *faults) add(field, format string, args ...any) {
	*f = append(*f, field+": "+fmt.Sprintf(format, args...))
}

// checkName validates a name such as that of an organisation or a service.
func (f *faults) checkName(field, value string) {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		f.add(field, "%q must be 1 to %d lower-case letters, digits and inner hyphens", value, maxNameLength)
	}
}

// checkIdentifier validates the name of a model, a version or an adapter.
func (f *faults) checkIdentifier(field, value string) {
	if len(value) > maxIdentifierLength || !identifierPattern.MatchString(value) {
		f.add(field, "%q must be 1 to %d letters, digits and inner . _ : / -", value, maxIdentifierLength)
	}
}

// checkCount rejects a list with too many entries.
func (f *faults) checkCount(field string, n, limit int) {
	if n > limit {
		f.add(field, "has %d entries, the limit is %d", n, limit)
	}
}

// Check expands the parameters of a template and returns all validation errors, or
// none if the template is valid.
func Check(t Template) []string {
	expanded, expansionFaults := Expand(t)
	f := faults(expansionFaults)
	f.checkName("name", expanded.Name)
	f.checkModel(expanded)
	if !(expanded.Share > 0 && expanded.Share <= 1) {
		f.add("share", "%v is not greater than 0 and at most 1", expanded.Share)
	}
	if expanded.Priority < 0 || expanded.Priority > maxPriority {
		f.add("priority", "%d is not between 0 and %d", expanded.Priority, maxPriority)
	}
	f.checkKeyHashes(expanded.KeyHashes)
	f.checkRoutes(expanded.Routes)
	f.checkCount("parameters", len(t.Parameters), maxParameters)
	return f
}

// checkModel validates the model. A template that only has routes may omit it.
func (f *faults) checkModel(t Template) {
	m := t.Model
	if m.Name == "" && m.Version == "" && m.Adapter == "" && len(m.Allowed) == 0 {
		if len(t.Routes) == 0 {
			f.add("model", "is missing, and there are no routes")
		}
		if t.ChatNonIdempotent {
			f.add("chat_non_idempotent", "is set without a model")
		}
		return
	}
	f.checkIdentifier("model.name", m.Name)
	f.checkIdentifier("model.version", m.Version)
	if m.Adapter != "" {
		f.checkIdentifier("model.adapter", m.Adapter)
	}
	f.checkCount("model.allowed", len(m.Allowed), maxAllowedModels)
	for i, allowed := range m.Allowed {
		field := fmt.Sprintf("model.allowed[%d]", i)
		f.checkIdentifier(field, allowed)
		if slices.Contains(m.Allowed[:i], allowed) {
			f.add(field, "%q is listed twice", allowed)
		}
	}
}

// checkKeyHashes validates the key hashes. The messages leave out the hashes
// themselves.
func (f *faults) checkKeyHashes(hashes []string) {
	if len(hashes) == 0 {
		f.add("key_hashes", "is empty, so no caller could authenticate")
	}
	f.checkCount("key_hashes", len(hashes), maxKeyHashes)
	for i, hash := range hashes {
		field := fmt.Sprintf("key_hashes[%d]", i)
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != hashByteLength || hash != strings.ToLower(hash) {
			f.add(field, "is not a SHA-256 hash of %d lower-case hexadecimal digits", 2*hashByteLength)
		}
		if slices.Contains(hashes[:i], hash) {
			f.add(field, "is listed twice")
		}
	}
}

// checkRoutes validates each route and rejects duplicates.
func (f *faults) checkRoutes(routes []Route) {
	f.checkCount("routes", len(routes), maxRoutes)
	seen := make(map[string]int)
	for i, r := range routes {
		field := fmt.Sprintf("routes[%d]", i)
		f.checkRoute(field, r)
		key := r.Service + " " + r.Method + " " + r.Path
		if first, ok := seen[key]; ok {
			f.add(field, "repeats routes[%d]", first)
			continue
		}
		seen[key] = i
	}
}

func (f *faults) checkRoute(field string, r Route) {
	f.checkName(field+".service", r.Service)
	if !slices.Contains(validMethods, r.Method) {
		f.add(field+".method", "%q is not one of %s", r.Method, strings.Join(validMethods, " "))
	}
	if !strings.HasPrefix(r.Path, "/") || path.Clean(r.Path) != r.Path || strings.ContainsAny(r.Path, "%?#;\\ ") {
		f.add(field+".path", "%q is not a normalised path that starts with / and contains none of %% ? # ; \\ or space", r.Path)
	}
	if !slices.Contains(validChecks, r.Checks) {
		f.add(field+".checks", "%q is not one of %s", r.Checks, strings.Join(validChecks, " "))
	}
	if r.Timeout != 0 && (r.Timeout < minTimeout || r.Timeout > maxTimeout) {
		f.add(field+".timeout", "%v is not between %v and %v", r.Timeout, minTimeout, maxTimeout)
	}
}
