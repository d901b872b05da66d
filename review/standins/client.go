package main

import (
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// configTemplate is the operator's configuration, with places for the host, the service and
// the API key.
//
//go:embed config.json.tmpl
var configTemplate string

const (
	host   = "portal.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// configure writes the operator's configuration: one plain service, with a route for
// bookings, which aren't idempotent, and one for look-ups.
func (b *bench) configure(service string) {
	text := fmt.Sprintf(configTemplate, host, service, apiKey)
	b.store.put(names["op"], "config", []byte(text))
}

// outcome is the result of one client attempt.
type outcome struct {
	id     string
	node   *node
	sent   time.Duration
	status int
	retry  time.Duration
	body   string
	err    error
}

// promised reports whether the answer promises that the request has not run.
func (o outcome) promised() bool {
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

var lastID atomic.Int64

// ask sends one client attempt to a node, on a connection of its own.
func (b *bench) ask(n *node, method, path, body string, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)), node: n, sent: b.rec.now()}
	client := http.Client{
		Timeout:   deadline,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(method, "http://"+n.frontend+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	req.Host = host
	req.Header.Set(names["request"], o.id)
	req.Header.Set(names["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set(names["key"], "Bearer "+apiKey)
	b.rec.printf("client: sends %s %s %s to %s", method, path, o.id, n.name)
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		b.rec.printf("client: %s has no answer: %v", o.id, err)
		return o
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	o.status, o.body, o.err = resp.StatusCode, string(data), err
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.retry = time.Duration(seconds * float64(time.Second))
	}
	b.rec.printf("client: %s is answered with %d by %s, signature %q, Retry-After %q, error %v",
		o.id, o.status, n.name, resp.Header.Get(names["signature"]), resp.Header.Get("Retry-After"), err)
	return o
}
