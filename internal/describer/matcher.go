package describer

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
)

// maxDecodings limits how often a path is percent-decoded.
const maxDecodings = 3

// Route returns the route of a call. The longest prefix of whole path segments
// wins, then an exact method over *. Services may normalise a path in different
// ways (percent-encoding, dot segments, double slashes, backslashes, letter case,
// path parameters), so all normalisations are matched and a non-idempotent route
// takes precedence. A path with invalid percent-encoding has no route.
func (o Organisation) Route(service, method, path string) (Route, bool) {
	var best Route
	found := false
	for _, candidate := range candidatePaths(path) {
		for _, m := range matchingMethods(method) {
			for _, ignoreCase := range []bool{false, true} {
				r, ok := o.match(service, m, candidate, ignoreCase)
				if ok && (!found || r.NonIdempotent && !best.NonIdempotent) {
					best, found = r, true
				}
			}
		}
	}
	return best, found
}

// matchingMethods returns a method and, for HEAD, also GET, as services commonly
// handle HEAD with their GET handler.
func matchingMethods(method string) []string {
	method = strings.ToUpper(method)
	if method == http.MethodHead {
		return []string{method, http.MethodGet}
	}
	return []string{method}
}

// candidatePaths returns the distinct normalised paths that a service may derive
// from a raw path, or nil if its percent-encoding is invalid.
func candidatePaths(raw string) []string {
	raw, _, _ = strings.Cut(raw, "?")
	raw, _, _ = strings.Cut(raw, "#")
	if _, err := url.PathUnescape(raw); err != nil {
		return nil
	}
	var list []string
	for range maxDecodings + 1 {
		for _, text := range []string{raw, strings.ReplaceAll(raw, `\`, "/")} {
			list = appendUnique(list, cleanPath(text))
			list = appendUnique(list, cleanPath(stripPathParameters(text)))
		}
		decoded, err := url.PathUnescape(raw)
		if err != nil || decoded == raw {
			break
		}
		raw = decoded
	}
	return list
}

// appendUnique appends a string unless the list contains it.
func appendUnique(list []string, text string) []string {
	if slices.Contains(list, text) {
		return list
	}
	return append(list, text)
}

// cleanPath removes dot segments and double slashes.
func cleanPath(raw string) string {
	return path.Clean("/" + raw)
}

// stripPathParameters removes the ;parameters of each segment.
func stripPathParameters(raw string) string {
	segments := strings.Split(raw, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return strings.Join(segments, "/")
}

// match returns the best route for one normalised path.
func (o Organisation) match(service, method, path string, ignoreCase bool) (Route, bool) {
	var best Route
	found := false
	for _, r := range o.Template.Routes {
		if r.Service != service || (r.Method != method && r.Method != anyMethod) || !hasPrefix(path, r.Path, ignoreCase) {
			continue
		}
		longer := len(r.Path) > len(best.Path)
		exactMethod := len(r.Path) == len(best.Path) && best.Method == anyMethod
		if !found || longer || exactMethod {
			best, found = r, true
		}
	}
	return best, found
}

// hasPrefix reports whether prefix matches whole leading segments of path,
// optionally ignoring letter case.
func hasPrefix(path, prefix string, ignoreCase bool) bool {
	if prefix == "/" {
		return true
	}
	if len(path) < len(prefix) || (len(path) > len(prefix) && path[len(prefix)] != '/') {
		return false
	}
	start := path[:len(prefix)]
	return start == prefix || (ignoreCase && strings.EqualFold(start, prefix))
}
