package driver

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
)

// unsoundStatusLines are status lines that HTTP doesn't allow.
var unsoundStatusLines = []string{
	"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 +20 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 000",
	"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
}

// checkUnsound calls an endpoint in each way that reads answers, with an answer that must fail.
func checkUnsound(t *testing.T, text string) {
	t.Helper()
	calls := cutCalls(t)
	e := NewEngine(EngineConfig{})
	calls["export"] = func(address string) error {
		_, err := e.Export(t.Context(), address, "r")
		return err
	}
	calls["prefixes"] = func(address string) error {
		_, err := e.Prefixes(t.Context(), address, 0)
		return err
	}
	calls["cancel"] = func(address string) error { return e.Cancel(t.Context(), address, Cancel{Request: "r"}) }
	for way, call := range calls {
		p := newPeer(t, &peer{status: answerOK, answer: always(text + hangUp)})
		var refused *Refused
		if err := call(p.address); err == nil || isUnsent(err) || errors.As(err, &refused) {
			t.Errorf("%s, %q: got %v, want an error that doesn't say that the call did not run", way, text, err)
		}
	}
	p := newPeer(t, &peer{status: text, answer: always(answerOK)})
	if got, err := e.Status(t.Context(), p.address); err == nil {
		t.Errorf("status, %q: got %+v, want an error", text, got)
	}
	_, err := NewService(longProbeTimeout).Once(t.Context(), p.address, Call{Method: http.MethodPost, Path: "/a"})
	if err == nil || p.arrivals() > 0 {
		t.Errorf("probe before a call, %q: got %v and %d calls, want an error and none", text, err, p.arrivals())
	}
}

// Guards against an answer that is taken for one although its status line is none of HTTP.
func TestStatusOutsideHTTP(t *testing.T) {
	for _, line := range unsoundStatusLines {
		for _, framing := range []string{"Content-Length: 2\r\n", "Connection: close\r\n"} {
			t.Run(fmt.Sprintf("%q, %q", line, framing), func(t *testing.T) {
				t.Parallel()
				checkUnsound(t, line+"\r\n"+framing+"\r\n{}")
			})
		}
	}
}

// Guards against an answer in whose head a line is no header: the line would be passed on or, if it
// frames the body, the body would not be the endpoint's.
func TestNamesOfHeaders(t *testing.T) {
	const chunk = "2\r\n{}\r\n0\r\n\r\n"
	const length = "Content-Length: 2\r\n"
	for _, rest := range []string{
		"Content-Length : 2\r\n\r\n{}", "Transfer-Encoding : chunked\r\n\r\n" + chunk, "X : v\r\nContent-Length : 2\r\n\r\n{}",
		length + "X Bad: v\r\n\r\n{}", "X Bad: v\r\n" + length + "\r\n{}", length + "X\tBad: v\r\n\r\n{}", length + "X-Bad\t: v\r\n\r\n{}",
		length + "X\x01Bad: v\r\n\r\n{}", length + "X\x00Bad: v\r\n\r\n{}", length + "X\x7fBad: v\r\n\r\n{}", length + "X\x80Bad: v\r\n\r\n{}",
		length + "X\rBad: v\r\n\r\n{}", length + "X(Bad): v\r\n\r\n{}", length + ": v\r\n\r\n{}", length + " : v\r\n\r\n{}",
		" X-Bad: v\r\n" + length + "\r\n{}", length + "X-Bad\r\n\r\n{}",
	} {
		t.Run(fmt.Sprintf("%q", rest), func(t *testing.T) {
			t.Parallel()
			checkUnsound(t, "HTTP/1.1 200 OK\r\n"+rest)
		})
	}
}

// Guards against sound heads that are refused: all characters of tokens are allowed in names.
func TestSoundHeadIsTaken(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + tokenChars + ": v\r\nx: \x80\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200\r\nX-Empty:\r\nX-Blank: \r\n",
		"HTTP/1.1 200 OK\nX-Folded: a\r\n b\r\n", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		for way, call := range cutCalls(t) {
			p := newPeer(t, &peer{status: answerOK, answer: always(head + "Content-Length: 2\r\n\r\n{}" + hangUp)})
			if err := call(p.address); err != nil {
				t.Errorf("%s, %q: got error %v, want the answer", way, head, err)
			}
		}
	}
}
