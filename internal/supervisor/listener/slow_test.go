package listener

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"banyanquay/internal/describer"
	"banyanquay/internal/supervisor/administrator"
)

func TestSlowBodyHoldsNoConnection(t *testing.T) {
	const operatorsKey = "operators-key"
	for _, tc := range []struct{ line, key, want string }{
		{"PUT /v1/admin/organisations/desk", operatorsKey, "deadline_passed"},
		{"POST /v1/admin/nodes/x/drain", operatorsKey, "bad_request"},
		{"GET /v1/admin/organisations/desk", "x", "wrong_credential"},
		{"POST /v1/elsewhere", callersKey, "no_such_path"},
	} {
		t.Run(tc.line, func(t *testing.T) {
			e := newTestListener()
			admin := administrator.New(administrator.Config{
				Operators: []administrator.Operator{{Name: "o", KeyHash: describer.HashKey(operatorsKey)}},
				Counters:  e.cfg.Counters,
			})
			e.cfg.Mounts = []func(*mux.Router){admin.Routes}
			runInMemory(t, e, func(t *testing.T, p *pipeListener, stop func()) {
				defer stop()
				c := p.dial()
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(bodyTimeout + time.Second))
				head := "%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 9\r\n\r\n{"
				if _, err := fmt.Fprintf(c, head, tc.line, tc.key); err != nil {
					t.Fatal(err)
				}
				r := bufio.NewReader(c)
				if got := readResponse(t, r); !strings.Contains(got.body, tc.want) {
					t.Errorf("got %+v, want %s", got, tc.want)
				}
				if _, err := r.ReadByte(); err != io.EOF {
					t.Errorf("got %v, want the connection closed", err)
				}
			})
		})
	}
}

func TestSilentConnectionsAreClosed(t *testing.T) {
	for _, tc := range []struct {
		name, sent string
		want       time.Duration
	}{
		{"half a header", "GET /healthz HTTP/1.1\r\n", headerTimeout},
		{"idle after an answer", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", idleTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInMemory(t, newTestListener(), func(t *testing.T, p *pipeListener, stop func()) {
				defer stop()
				c := p.dial()
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(2 * idleTimeout))
				began := time.Now()
				if _, err := io.WriteString(c, tc.sent); err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, c); err != nil {
					t.Fatalf("got %v, want the connection closed", err)
				}
				if got := time.Since(began); got != tc.want {
					t.Errorf("closed after %s, want %s", got, tc.want)
				}
			})
		})
	}
}
