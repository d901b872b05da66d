package listener

import (
	"net/http"
	"time"

	"banyanquay/internal/refuser"
)

// headerMarginBytes is added to the configured header limit to get the HTTP
// server's own limit, whose refusal carries no code. Headers over the configured
// limit are refused with a code as long as they are within the server's limit, to
// which the server itself adds another 4 KiB.
const headerMarginBytes = 3 << 10

// limitRequests limits the header size of every request, and the time for its
// body, before the request is routed. The body's deadline also holds if no
// handler reads it.
func (l *Listener) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		if limit := l.cfg.Limits.HeaderBytes; HeaderBytes(r) > limit {
			refusal := refuser.New(refuser.HeaderTooLarge, "the limit is %d bytes", limit)
			l.refuse(w, r, includeEarlierAttempts(r, refusal))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// HeaderBytes returns the size of a request's header as HTTP/1.1 writes it,
// including the request line.
func HeaderBytes(r *http.Request) int {
	const (
		separators = len("  \r\n") + len("Host: \r\n") + len("\r\n")
		perLine    = len(": \r\n")
	)
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + perLine
		}
	}
	return n
}
