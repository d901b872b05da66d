package driver

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// statusLine matches the start of an answer's head, and headInBody that of a body that is one.
var (
	statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)
	headInBody = regexp.MustCompile(`^` + statusLine.String())
)

// Transport is an http.Transport that fails for answers that aren't sound: those whose head is not
// that of one answer, and those whose connection broke off. All answers of endpoints, of the
// platform and, by the tool, of nodes are read through it or by Service.Once, which checks the same.
type Transport struct {
	transport *http.Transport
}

// NewTransport makes t a Transport whose connections dialer opens. Heads count against the pool until
// the body is closed; with no pool they don't count.
func NewTransport(t *http.Transport, dialer *net.Dialer, pool *bounder.Pool) Transport {
	t.DialContext = dial(dialer.DialContext, pool)
	return Transport{transport: t}
}

// CloseIdleConnections closes the connections that no request uses.
func (t Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip sends a request once and returns the answer.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var head atomic.Pointer[bounder.Head]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		opened := info.Conn
		if counted, ok := opened.(*bounder.Conn); ok {
			if earlier := head.Swap(counted.BeginHead()); earlier != nil {
				earlier.Release()
			}
			opened = counted.Conn
		}
		if c, ok := opened.(*conn); ok {
			c.concurrent.Store(true)
		}
	}})
	resp, err := t.transport.RoundTrip(req.WithContext(ctx))
	h := head.Load()
	if err != nil {
		if h != nil {
			h.Release()
		}
		return nil, err
	}
	if h != nil {
		h.End(resp.Header)
		resp.Body = &headedBody{ReadCloser: resp.Body, head: h}
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// headedBody is a body that releases the memory of its head when it is closed.
type headedBody struct {
	io.ReadCloser
	head *bounder.Head
}

// Close closes the body.
func (b *headedBody) Close() error {
	defer b.head.Release()
	return b.ReadCloser.Close()
}

// checkHead checks that a head is that of one answer. An endpoint that fails within a head may
// write a second answer; the two read as one if the first is cut off within its reason phrase
// or a value.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return trace.BadParameter("the answer is of %.40q", resp.Proto)
	}
	if statusLine.MatchString(resp.Status) {
		return trace.BadParameter("the status %.40q has the head of another answer", resp.Status)
	}
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkHeader(resp.Header)
}

// The statuses of HTTP (RFC 9110, section 15). net/http takes any three digits for one.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus checks that a status is one of HTTP.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return trace.BadParameter("%03d is no status of HTTP", status)
	}
	return nil
}

// tokenChars are the characters of the names of headers (RFC 9110, section 5.6.2).
const tokenChars = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// checkHeader checks that names are tokens and that no value has the head of another answer. net/http
// keeps names that hold a blank. It doesn't know them as those that frame the body, whose end would
// then be another one than the endpoint's.
func checkHeader(header http.Header) error {
	for name, values := range header {
		if name == "" || strings.Trim(name, tokenChars) != "" {
			return trace.BadParameter("%.40q is no name of a header", name)
		}
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
