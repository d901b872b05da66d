package commander

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/administrator"
)

// maxResponseBytes limits a response that is read as a whole.
const maxResponseBytes = 64 << 20

// jsonType is the media type of JSON bodies.
const jsonType = "application/json"

// usageError reports an invalid command line.
type usageError struct {
	message string
}

func (e *usageError) Error() string { return e.message }

// unreachableError means that no node could be reached.
type unreachableError struct {
	tried   []string
	lastErr error
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no node reachable at %s (%v); check the addresses or set another one with --node",
		strings.Join(e.tried, ", "), e.lastErr)
}

// problemError is the refusal of a node.
type problemError struct {
	problem refuser.Problem
}

func (e *problemError) Error() string {
	p := e.problem
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s (ran: %s): %s", p.Code, p.Name, p.Ran, p.Title)
	if p.Detail != "" {
		fmt.Fprintf(&b, "\n  %s", p.Detail)
	}
	for _, fault := range p.Faults {
		fmt.Fprintf(&b, "\n  - %s", fault)
	}
	if p.RetryAfter > 0 {
		fmt.Fprintf(&b, "\n  Retry-After: %d s", p.RetryAfter)
	}
	fmt.Fprintf(&b, "\n  %s", refuser.Lookup(refuser.Code(p.Code)).Advice)
	return b.String()
}

// client sends requests to the first node that can be reached.
type client struct {
	http  *http.Client
	nodes []string
	key   string
}

// newClient validates the URLs of the nodes.
func newClient(h *http.Client, nodes []string, key string) (client, error) {
	c := client{http: h, key: key}
	for _, node := range nodes {
		if !strings.Contains(node, "://") {
			node = "http://" + node
		}
		u, err := url.Parse(node)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return c, &usageError{fmt.Sprintf("--node %q is not a URL such as %s", node, defaultNode)}
		}
		c.nodes = append(c.nodes, u.Scheme+"://"+u.Host)
	}
	return c, nil
}

// request is an HTTP request that isn't addressed to a particular node yet.
type request struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// send sends a request to the first node that accepts a connection. A request that
// may have reached a node is retried at the next one only if it is a GET.
func (c client) send(ctx context.Context, req request) (*http.Response, error) {
	var lastErr error
	for _, node := range c.nodes {
		resp, err := c.sendTo(ctx, node, req)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
		if req.method != http.MethodGet && !isDialError(err) {
			return nil, trace.Wrap(err, "the connection to %s failed; whether the request took effect is not known, so check before retrying", node)
		}
	}
	return nil, &unreachableError{tried: c.nodes, lastErr: lastErr}
}

// sendTo sends a request to one node.
func (c client) sendTo(ctx context.Context, node string, req request) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, req.method, node+req.path, bytes.NewReader(req.body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range req.header {
		r.Header[name] = values
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	return c.http.Do(r)
}

// isDialError reports whether the connection could not be made, so that nothing was
// sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readProblem decodes the refusal in a response.
func readProblem(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return trace.Wrap(err, "reading the response")
	}
	problem, err := encoder.FromJSON[refuser.Problem](body)
	if err != nil || problem.Code == 0 {
		return trace.BadParameter("the response %s is not from a banyanquay node; check --node", resp.Status)
	}
	return &problemError{problem: problem}
}

// call sends a request and decodes the response.
func call[Out any](ctx context.Context, c client, req request) (Out, error) {
	var zero Out
	resp, err := c.send(ctx, req)
	if err != nil {
		return zero, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return zero, readProblem(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return zero, trace.Wrap(err, "reading the response")
	}
	return encoder.FromJSON[Out](body)
}

// get reads a resource of the administration API.
func get[Out any](ctx context.Context, c client, path string) (Out, error) {
	return call[Out](ctx, c, request{method: http.MethodGet, path: administrator.Prefix + path})
}

// organisationPath returns the path of an organisation in the administration API.
func organisationPath(name string) string {
	return "/organisations/" + url.PathEscape(name)
}
