package provider

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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
	maxHeadBytes   = 64 << 10
	requestTimeout = 5 * time.Second
	// maxListBytes bounds the list of VMs, and vmMemory is the memory of each of its values
	// besides its text. An entry takes about 100 bytes and has four values.
	maxListBytes = 2 << 20
	vmMemory     = 112
	// maxPositionBytes bounds the answer to an append.
	maxPositionBytes = 4 << 10
	// maxUnusedBytes is how much of an answer that isn't used is read, so that the connection
	// can be used again.
	maxUnusedBytes = 4 << 10
)

// Config configures the client of the platform.
type Config struct {
	// URL is the platform's base URL.
	URL string
	// HTTP is the client that sends the requests; nil means a new one.
	HTTP *http.Client
	// Budget is the memory for what the platform sends; an empty one means one of its own.
	Budget bounder.Budget
}

// Client is an HTTP client of the platform.
type Client struct {
	cfg Config
}

// New returns a client of the platform.
func New(cfg Config) *Client {
	cfg.Budget = cfg.Budget.OrDefault()
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: driver.NewTransport(&http.Transport{
			MaxResponseHeaderBytes: maxHeadBytes,
			MaxIdleConnsPerHost:    16,
			IdleConnTimeout:        30 * time.Second,
		}, &net.Dialer{}, cfg.Budget.Control)}
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
	var pos Position
	err := c.call(ctx, requestTimeout, http.MethodPost, recordsPath(stream), data, func(r io.Reader) error {
		body, held, err := c.cfg.Budget.Control.ReadAll(r, maxPositionBytes)
		defer held.Release()
		if err != nil {
			return trace.ConnectionProblem(err, "reading the platform's answer")
		}
		pos, err = encoder.FromJSON[Position](body)
		return err
	})
	return pos, trace.Wrap(err, "appending to stream %s", stream)
}

func (c *Client) read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := c.call(ctx, wait+requestTimeout, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil, func(r io.Reader) error {
		var err error
		page, err = readPage(r, c.cfg.Budget.Control)
		return err
	})
	if err != nil {
		return Page{}, trace.Wrap(err, "reading stream %s from %d", stream, from)
	}
	return page, nil
}

// vmList is the response body of the platform's list.
type vmList struct {
	VMs []VM `json:"vms"`
}

func (c *Client) vms(ctx context.Context) ([]VM, error) {
	var list vmList
	err := c.call(ctx, requestTimeout, http.MethodGet, "/vms", nil, func(r io.Reader) error {
		body, held, err := c.cfg.Budget.Control.ReadAll(r, maxListBytes)
		defer held.Release()
		if err == nil {
			err = held.Resize(int64(cap(body)) + bounder.DecodedSize(body, vmMemory))
		}
		if err != nil {
			return trace.ConnectionProblem(err, "reading the platform's answer")
		}
		list, err = encoder.FromJSON[vmList](body)
		return err
	})
	return list.VMs, trace.Wrap(err, "listing VMs")
}

// call performs one request with a timeout, and reads the body of the response, whose status
// must be 200. When it times out, the idle connections are closed: they may all have become
// unresponsive, and each would make another request time out.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, data []byte, read func(body io.Reader) error) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.do(callCtx, method, path, data, read)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		c.cfg.HTTP.CloseIdleConnections()
	}
	return err
}

// do is call without a timeout.
func (c *Client) do(ctx context.Context, method, path string, data []byte, read func(body io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "calling the platform")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		// A failure to read the rest shows with the connection's next request.
		_, _ = io.CopyN(io.Discard, resp.Body, maxUnusedBytes)
		return trace.ConnectionProblem(nil, "the platform answered %s", resp.Status)
	}
	return read(resp.Body)
}

// recordsPath returns the URL path of a stream's records.
func recordsPath(stream string) string {
	return fmt.Sprintf("/log/%s/records", url.PathEscape(stream))
}
