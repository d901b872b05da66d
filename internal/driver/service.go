package driver

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// Headers that the router sets for services that check them.
const (
	headerKey   = "Idempotency-Key"
	headerFence = "Fence"
)

// defaultProbeTimeout bounds dialling and probing a connection if no timeout is
// configured.
const defaultProbeTimeout = time.Second

// hopHeaders are the hop-by-hop headers, which are never forwarded.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ServiceConfig configures the client of plain services.
type ServiceConfig struct {
	// Timeout bounds a call that has no timeout of its own; 0 means a minute.
	Timeout time.Duration
	// ProbeTimeout bounds dialling and probing a new connection; 0 means a second.
	ProbeTimeout time.Duration
	// Budget is the memory for what services send; an empty one means one of its own.
	Budget bounder.Budget
}

// service implements the functions of a Service.
type service struct {
	cfg ServiceConfig
	// client opens a connection for each call: services' answers don't name the request,
	// so that a late copy of an earlier answer would be taken for the next one.
	client *http.Client
}

// NewService returns a client of plain services.
func NewService(cfg ServiceConfig) Service {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.ProbeTimeout <= 0 {
		cfg.ProbeTimeout = defaultProbeTimeout
	}
	cfg.Budget = cfg.Budget.OrDefault()
	client, transport := newClient(cfg.Budget)
	transport.DisableKeepAlives = true
	s := &service{cfg: cfg, client: client}
	return Service{Do: s.do, Once: s.once}
}

// do sends an idempotent call over a connection of its own.
func (s *service) do(ctx context.Context, address string, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout(call))
	defer cancel()
	req, err := newCallRequest(ctx, address, call)
	if err != nil {
		return Answer{}, &Unsent{Err: err}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return Answer{}, trace.ConnectionProblem(err, "calling %s %s at %s", call.Method, call.Path, address)
	}
	return s.newAnswer(resp, address)
}

// timeout returns the call's timeout, or the configured one if the call has none.
func (s *service) timeout(call Call) time.Duration {
	if call.Timeout > 0 {
		return call.Timeout
	}
	return s.cfg.Timeout
}

// newCallRequest builds the HTTP request for a call.
func newCallRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, trace.BadParameter("path %q does not begin with a slash", call.Path)
	}
	target := "http://" + address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, trace.Wrap(err, "building %s %s for %s", call.Method, call.Path, address)
	}
	req.Header = callHeader(call)
	return req, nil
}

// callHeader returns the call's header without hop-by-hop headers, and with the key
// and the fence of the call.
func callHeader(call Call) http.Header {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del(headerFence)
	if call.Key != "" {
		header.Set(headerKey, call.Key)
	}
	if call.Fence != 0 {
		header.Set(headerFence, strconv.FormatUint(call.Fence, 10))
	}
	return header
}

// newAnswer reads the whole response and closes its body. Its memory is in use until the
// answer is released.
func (s *service) newAnswer(resp *http.Response, address string) (Answer, error) {
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK {
		return Answer{}, trace.BadParameter("%s sent the interim status %d as its answer", address, resp.StatusCode)
	}
	body, held, err := s.cfg.Budget.Calls.ReadAll(resp.Body, maxAnswerBytes)
	if err == nil {
		err = held.Resize(int64(cap(body)) + bounder.HeaderSize(resp.Header))
	}
	if err != nil {
		held.Release()
		return Answer{}, trace.ConnectionProblem(err, "reading the answer from %s", address)
	}
	if err := CheckBody(body); err != nil {
		held.Release()
		return Answer{}, trace.Wrap(err, "reading the answer from %s", address)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, held: held}, nil
}
