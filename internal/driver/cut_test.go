package driver

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// cutAnswers are whole answers with a body, by how they are framed.
func cutAnswers(body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	return map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nX-A: a\r\n" + length + "\r\n" + body,
		"length, closed":   "HTTP/1.1 200 OK\r\n" + length + "Connection: close\r\n\r\n" + body,
		"length, HTTP/1.0": "HTTP/1.0 200 OK\r\nX-A: a\r\n" + length + "\r\n" + body,
		"newlines":         "HTTP/1.1 200 OK\nX-A: a\n" + strings.TrimSuffix(length, "\r\n") + "\n\n" + body,
		"chunks":           "HTTP/1.1 200 OK\r\nX-A: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
		"chunks, trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\n\r\n" + chunk + "0\r\nX-Late: a\r\n\r\n",
		"interim answers":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n" + body,
	}
}

// cutCalls are the ways in which answers of engines and services are read.
func cutCalls(t *testing.T) map[string]func(address string) error {
	s, e := NewService(longProbeTimeout), NewEngine(EngineConfig{})
	return map[string]func(address string) error{
		"do": func(address string) error {
			_, err := s.Do(t.Context(), address, Call{Method: http.MethodGet, Path: "/a"})
			return err
		},
		"once": func(address string) error {
			_, err := s.Once(t.Context(), address, Call{Method: http.MethodPost, Path: "/a", Body: []byte("x")})
			return err
		},
		"step": func(address string) error {
			_, err := e.Step(t.Context(), address, Step{Request: "r"})
			return err
		},
		"order":  func(address string) error { return e.Order(t.Context(), address, Order{Fence: 1}) },
		"import": func(address string) error { return e.Import(t.Context(), address, Cache{Request: "r"}) },
	}
}

// Guards against an answer that is cut off at some byte, in its head too, and that is taken
// for a whole one, for a refusal, or for one to a call that was not sent.
func TestAnswerCutAtEachByte(t *testing.T) {
	for name, text := range cutAnswers("{}") {
		for way, call := range cutCalls(t) {
			t.Run(way+" "+name, func(t *testing.T) {
				t.Parallel()
				for n := range len(text) + 1 {
					p := newPeer(t, &peer{status: answerOK, answer: always(text[:n] + hangUp)})
					err := call(p.address)
					if got, want := err == nil, n == len(text); got != want {
						t.Errorf("cut after %q: got a whole answer: %v, want %v (%v)", text[:n], got, want, err)
					}
					var refused *Refused
					if isUnsent(err) || errors.As(err, &refused) {
						t.Errorf("cut after %q: got %v, want no word that the call did not run", text[:n], err)
					}
					if got, want := p.arrivals(), 1; got != want {
						t.Errorf("cut after %q: got %d arrivals, want %d", text[:n], got, want)
					}
				}
			})
		}
	}
}

// Guards against a second answer, after one that is cut off within its head, whose headers or
// body are taken for those of the first.
func TestSecondAnswerWithinAHead(t *testing.T) {
	const second = "HTTP/1.1 409 Conflict\r\nContent-Length: 22\r\n\r\n{\"reason\":\"old_fence\"}"
	const head = "HTTP/1.1 200 OK\r\nX-Endpoint: a\r\nContent-Type: application/json\r\nX-Long: a\r\n b\r\n\r\n"
	for way, call := range cutCalls(t) {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for n := 1; n < len(head)-1; n++ {
				p := newPeer(t, &peer{status: answerOK, answer: always(head[:n] + second + hangUp)})
				err := call(p.address)
				var refused *Refused
				if err == nil || isUnsent(err) || errors.As(err, &refused) {
					t.Errorf("second answer after %q: got %v, want an error that doesn't say that the call did not run", head[:n], err)
				}
			}
		})
	}
}

// Guards against a second answer that comes in place of the body of the first one, and that is
// taken for that body and recorded.
func TestSecondAnswerAfterAHead(t *testing.T) {
	const second = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
	calls := cutCalls(t)
	for _, framing := range []string{"Content-Length: 14\r\n", "Connection: close\r\n"} {
		for _, way := range []string{"do", "once"} {
			p := newPeer(t, &peer{status: answerOK, answer: always("HTTP/1.1 200 OK\r\n" + framing + "\r\n" + second + hangUp)})
			if err := calls[way](p.address); err == nil || isUnsent(err) {
				t.Errorf("%s, %q: got %v, want an error that doesn't say that the call was not sent", way, framing, err)
			}
		}
	}
}

// Guards against a service's 101 that is taken for the answer to a call, and recorded as such.
func TestInterimStatusIsNoAnswer(t *testing.T) {
	const text = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n{}" + hangUp
	for way, call := range cutCalls(t) {
		t.Run(way, func(t *testing.T) {
			p := newPeer(t, &peer{status: answerOK, answer: always(text)})
			if err := call(p.address); err == nil || isUnsent(err) {
				t.Errorf("got %v, want an error that doesn't say that the call did not run", err)
			}
		})
	}
}
