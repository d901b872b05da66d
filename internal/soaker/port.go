package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/gravitational/trace"
)

const (
	// Ports are searched between firstPort and lastPort, below the system's
	// ephemeral ports.
	firstPort = 12000
	lastPort  = 32000
	// maxPortAttempts is how many ranges of consecutive ports are tried.
	maxPortAttempts = 50
)

// findPorts returns the first of consecutive ports that are free on all addresses of
// a run.
func findPorts(ctx context.Context, cfg Config) (int, error) {
	ips := []string{siteIP, proxyIP}
	for n := range cfg.Nodes {
		ips = append(ips, fmt.Sprintf(nodeIPFormat, n+1), fmt.Sprintf(storeProxyIPFormat, n+1))
	}
	portCount := sitePortOffset + len(centres)*(cfg.Engines+1) + 1
	var err error
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort-portCount)
		if err = checkFree(ctx, ips, port, portCount); err == nil {
			return port, nil
		}
	}
	return 0, trace.Wrap(err, "no %d consecutive ports are free", portCount)
}

// checkFree checks that consecutive ports can be listened on at some addresses.
func checkFree(ctx context.Context, ips []string, port, count int) error {
	var lc net.ListenConfig
	for _, ip := range ips {
		for n := range count {
			ln, err := lc.Listen(ctx, "tcp", net.JoinHostPort(ip, fmt.Sprint(port+n)))
			if err != nil {
				return trace.Wrap(err)
			}
			_ = ln.Close()
		}
	}
	return nil
}
