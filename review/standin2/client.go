package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// exchange is one attempt of a client and its answer.
type exchange struct {
	id      string
	machine *machine
	sent    time.Time
	ended   time.Time
	// status is 0 if there was no answer.
	status int
	signed bool
	body   string
	err    error
}

// clients sends requests as the pages say: at addresses that the directory named.
type clients struct {
	f    *fleet
	key  string
	ids  atomic.Int64
	http *http.Client

	mu  sync.Mutex
	all []exchange
}

func newClients(f *fleet, key string) *clients {
	return &clients{f: f, key: key, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// resolve asks a machine for the addresses to use.
func (c *clients) resolve(ctx context.Context, m *machine, zone string) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q := url.Values{"name": {host}, "region": {"gauteng"}, "zone": {zone}}
	target := "http://" + net.JoinHostPort(m.ip, fmt.Sprint(c.f.ports.directory)) + names.Resolve + "?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

// machineAt returns the machine with an address.
func (f *fleet) machineAt(address string) *machine {
	ip, _, _ := net.SplitHostPort(address)
	for _, m := range f.machines {
		if m.ip == ip {
			return m
		}
	}
	return nil
}

// send sends one request to a machine and waits for its answer.
func (c *clients) send(m *machine, method, path, body string, deadline time.Duration) exchange {
	x := exchange{id: fmt.Sprintf("%08x%08x", rand.Uint32(), c.ids.Add(1)), machine: m, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	target := "http://" + net.JoinHostPort(m.ip, fmt.Sprint(c.f.ports.frontend)) + path
	req, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		x.err = err
		return x
	}
	req.Host = host
	req.Header.Set(names.RequestID, x.id)
	req.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+c.key)
	if strings.HasPrefix(path, "/stream/") {
		req.Header.Set(names.Tokens, fmt.Sprintf("760,%d", streamEvents))
	}
	c.f.rec.line("client sends %s %s %s to %s", x.id, method, path, m.name)
	resp, err := c.http.Do(req)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		x.body, x.err = string(data), readErr
		x.status, x.signed = resp.StatusCode, resp.Header.Get(names.Signature) != ""
	} else {
		x.err = err
	}
	x.ended = time.Now()
	c.f.rec.line("client gets %s: %d signed %v, error %v, after %v", x.id, x.status, x.signed, x.err, x.ended.Sub(x.sent).Round(time.Millisecond))
	c.mu.Lock()
	c.all = append(c.all, x)
	c.mu.Unlock()
	return x
}

// load sends requests of one kind at a rate until ctx ends. Each client asks the directory of
// a machine of its zone each two seconds.
func (c *clients) load(ctx context.Context, zone string, perSecond float64, method, path, body string, deadline time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var addresses []string
	var asked time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(asked) > 2*time.Second {
			for _, m := range c.f.machines {
				if m.zone != zone {
					continue
				}
				if got := c.resolve(ctx, m, zone); len(got) > 0 {
					addresses, asked = got, time.Now()
					break
				}
			}
		}
		if len(addresses) > 0 {
			m := c.f.machineAt(addresses[rand.IntN(len(addresses))])
			if m != nil {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c.send(m, method, fmt.Sprintf("%s%d", path, n), body, deadline)
				}()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(time.Second) / perSecond * (0.5 + rand.Float64()))):
		}
	}
}

// exchanges returns all attempts so far.
func (c *clients) exchanges() []exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]exchange(nil), c.all...)
}
