package provider

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
)

// Limits of one request to the platform.
const (
	maxPageBytes   = 64 << 20
	maxHeadBytes   = 64 << 10
	requestTimeout = 5 * time.Second
)

// Config configures the client of the platform.
type Config struct {
	// URL is the platform's base URL.
	URL string
	// HTTP is the client that sends the requests; nil means a new one.
	HTTP *http.Client
}

// Client is an HTTP client of the platform.
type Client struct {
	cfg Config
}

// New returns a client of the platform.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: driver.Transport{Transport: &http.Transport{
			MaxResponseHeaderBytes: maxHeadBytes,
			MaxIdleConnsPerHost:    16,
			IdleConnTimeout:        30 * time.Second,
		}}}
	}
	return &Client{cfg: cfg}
}

// Log returns the functions of the platform's log.
func (c *Client) Log() Log {
	return Log{Append: c.append, Read: c.read}
}

// List returns the functions of the platform's list of VMs.
func (c *Client) List() List {
	return List{VMs: c.vms}
}

func (c *Client) append(ctx context.Context, stream string, data []byte) (Position, error) {
	body, err := c.call(ctx, requestTimeout, http.MethodPost, recordsPath(stream), data)
	if err != nil {
		return Position{}, trace.Wrap(err, "appending to stream %s", stream)
	}
	pos, err := encoder.FromJSON[Position](body)
	return pos, trace.Wrap(err, "appending to stream %s", stream)
}

func (c *Client) read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	body, err := c.call(ctx, wait+requestTimeout, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, trace.Wrap(err, "reading stream %s from %d", stream, from)
	}
	page, err := encoder.FromJSON[Page](body)
	return page, trace.Wrap(err, "reading stream %s from %d", stream, from)
}

// vmList is the response body of the platform's list.
type vmList struct {
	VMs []VM `json:"vms"`
}

func (c *Client) vms(ctx context.Context) ([]VM, error) {
	body, err := c.call(ctx, requestTimeout, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, trace.Wrap(err, "listing VMs")
	}
	list, err := encoder.FromJSON[vmList](body)
	return list.VMs, trace.Wrap(err, "listing VMs")
}

// call performs one request with a timeout. When it times out, the idle connections are
// closed: they may all have become unresponsive, and each would make another request
// time out.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, data []byte) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := c.do(callCtx, method, path, data)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		c.cfg.HTTP.CloseIdleConnections()
	}
	return body, err
}

// do performs one request and returns the body of the response, whose status must be
// 200.
func (c *Client) do(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "calling the platform")
	}
	defer resp.Body.Close()
	body, err := bounder.ReadAll(resp.Body, maxPageBytes)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "reading the platform's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the platform answered %s", resp.Status)
	}
	return body, nil
}

// recordsPath returns the URL path of a stream's records.
func recordsPath(stream string) string {
	return fmt.Sprintf("/log/%s/records", url.PathEscape(stream))
}
