package listener

import (
	"net/http"
	"time"

	"banyanquay/internal/refuser"
)

// headerMargin is by how many bytes the server's own limit on a header, whose
// refusal has no code, exceeds the one that is refused with a code. The server
// adds 4 KiB to it.
const headerMargin = 3 << 10

// guarded bounds every request before its route is looked up: its header's
// size, and how long its body may take, also if no handler reads it.
func (l *Listener) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		if limit := l.cfg.Limits.HeaderBytes; HeaderBytes(r) > limit {
			refusal := refuser.New(refuser.HeaderTooLarge, "the limit is %d bytes", limit)
			l.refuse(w, r, wholeTruth(r, refusal))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// HeaderBytes is the size of a request's head as the protocol writes it.
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
