package listener

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"banyanquay/internal/refuser"
)

func TestHeaderBeyondTheLimitIsRefusedWithACode(t *testing.T) {
	for _, tc := range []struct {
		beyond int
		want   string
	}{
		{0, `"text_completion"`},
		{1, `"name":"header_too_large"`},
		{headerMarginBytes, `"name":"header_too_large"`},
	} {
		e := newTestListener()
		runInMemory(t, e, func(t *testing.T, p *pipeListener, _ func()) {
			c := p.dial()
			defer c.Close()
			body := `{"prompt":"a","max_tokens":2}`
			head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nX-Long: %s\r\n\r\n"
			rest := len(fmt.Sprintf(head, callersKey, len(body), ""))
			long := strings.Repeat("x", e.cfg.Limits.HeaderBytes+tc.beyond-rest)
			go func() { _, _ = fmt.Fprintf(c, head+"%s", callersKey, len(body), long, body) }()
			if got := readResponse(t, bufio.NewReader(c)); !strings.Contains(got.body, tc.want) {
				t.Errorf("%d bytes beyond the limit: got %+v, want %s", tc.beyond, got, tc.want)
			}
			counted := e.cfg.Counters.Refusals.Get(refuser.HeaderTooLarge.String()) != nil
			if counted != (tc.beyond > 0) {
				t.Errorf("%d bytes beyond the limit: got counted %t", tc.beyond, counted)
			}
		})
	}
}
