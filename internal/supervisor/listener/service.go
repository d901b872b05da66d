package listener

import (
	"net/http"

	"github.com/gorilla/mux"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher"
)

// forwardedHeaders are the request headers that are forwarded to a plain
// service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}

// returnedHeaders are the response headers that are returned to the caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location", "Retry-After"}

// service answers /v1/services/{service}/...
func (l *Listener) service(w http.ResponseWriter, r request) error {
	data, held, err := l.readBody(w, r)
	defer held.Release()
	if err != nil {
		return err
	}
	call, err := l.newCall(r, data)
	if err != nil {
		return err
	}
	ctx, cancel, err := l.withTimeout(r)
	if err != nil {
		return err
	}
	defer cancel()
	release, err := l.cfg.Gate.Acquire()
	defer release()
	if err != nil {
		return l.cfg.RefuseCall(ctx, call, l.withOtherNodes(r, err))
	}
	result, err := l.cfg.Call(ctx, call)
	if err != nil {
		return asExpired(ctx, call.Route.NonIdempotent, err)
	}
	defer result.Answer.Release()
	l.cfg.Counters.Requests.Add("called", 1)
	copyHeaders(w.Header(), result.Answer.Header, returnedHeaders)
	if result.Recorded {
		w.Header().Set(headerRecorded, "true")
	}
	setWriteDeadline(w)
	w.WriteHeader(result.Answer.Status)
	_, _ = w.Write(result.Answer.Body)
	return nil
}

// newCall validates a call against its organisation's template.
func (l *Listener) newCall(r request, data []byte) (dispatcher.Call, error) {
	vars := mux.Vars(r.Request)
	path := "/" + vars["path"]
	route, ok := r.org.Route(vars["service"], r.Method, path)
	if !ok {
		return dispatcher.Call{}, refuser.New(refuser.NoSuchService, "no route for %s %s of service %q", r.Method, path, vars["service"])
	}
	key, err := idempotencyKey(r, data)
	if err != nil {
		return dispatcher.Call{}, err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := make(http.Header)
	copyHeaders(header, r.Header, forwardedHeaders)
	return dispatcher.Call{
		Request:      r.id,
		Organisation: r.org,
		Route:        route,
		Call:         driver.Call{Method: r.Method, Path: path, Header: header, Body: data},
		Key:          key,
	}, nil
}

// copyHeaders copies the named headers.
func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			to[http.CanonicalHeaderKey(name)] = values
		}
	}
}
