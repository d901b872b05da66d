package driver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"banyanquay/internal/bounder"
)

// Limits of the pooled connections.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxConnsPerHost   = 512
	maxIdlePerHost    = 64
	maxHeaderBytes    = 64 << 10
	keepAliveInterval = 15 * time.Second
)

// pool keeps a separate HTTP client, with its own connections, for each address.
type pool struct {
	mu sync.Mutex
	// clients is keyed by address.
	clients map[string]*http.Client
	budget  bounder.Budget
}

func newPool(b bounder.Budget) *pool {
	return &pool{clients: map[string]*http.Client{}, budget: b}
}

// client returns the HTTP client for the address and creates it if necessary.
func (p *pool) client(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		client, _ = newClient(p.budget)
		p.clients[address] = client
	}
	return client
}

// drop discards the address's connections. Requests in progress keep theirs until
// they end; these connections are not used again.
func (p *pool) drop(address string) {
	p.mu.Lock()
	client := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if client != nil {
		client.CloseIdleConnections()
	}
}

// newClient returns an HTTP/1.1 client that doesn't follow redirects, and its
// transport. Heads count against the budget's calls.
func newClient(b bounder.Budget) (*http.Client, *http.Transport) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DisableCompression:     true,
		MaxConnsPerHost:        maxConnsPerHost,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleTimeout,
	}
	client := &http.Client{Transport: NewTransport(transport, dialer, b.Calls), CheckRedirect: refuseRedirect}
	return client, transport
}

// refuseRedirect makes the client return a redirect as the response.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
