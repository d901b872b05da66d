package driver

import (
	"net/http"
	"regexp"

	"github.com/gravitational/trace"
)

// statusLine matches the start of an answer's head, and headInBody that of a body that is one.
var (
	statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)
	headInBody = regexp.MustCompile(`^` + statusLine.String())
)

// Transport is an http.Transport that fails for a head that has the start of another one.
type Transport struct {
	*http.Transport
}

// RoundTrip sends a request once and returns the answer.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead checks that a head is that of one answer. An endpoint that fails within a head may
// write a second answer; the two read as one if the first is cut off within its reason phrase
// or a value.
func checkHead(resp *http.Response) error {
	if statusLine.MatchString(resp.Status) {
		return trace.BadParameter("the status %.40q has the head of another answer", resp.Status)
	}
	for name, values := range resp.Header {
		for _, value := range values {
			if statusLine.MatchString(value) {
				return trace.BadParameter("the header %.40s has the head of another answer", name)
			}
		}
	}
	return nil
}

// CheckBody checks that a body doesn't begin with the head of another answer, which an endpoint
// that fails behind an answer's head may write in place of its body.
func CheckBody(body []byte) error {
	if headInBody.Match(body) {
		return trace.BadParameter("the body %.40q begins with the head of another answer", body)
	}
	return nil
}
