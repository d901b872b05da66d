package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/gravitational/trace"
)

const (
	// Ports are looked for between firstPort and lastPort, below those that the
	// system hands out itself.
	firstPort = 12000
	lastPort  = 32000
	// portTries is how many rows of ports are tried.
	portTries = 50
)

// freePort returns the first port of a row that is free on all addresses of a run.
func freePort(ctx context.Context, cfg Config) (int, error) {
	ips := []string{siteIP, frontIP}
	for n := range cfg.Nodes {
		ips = append(ips, fmt.Sprintf(nodeIP, n+1), fmt.Sprintf(storeIP, n+1))
	}
	row := sitePort + len(centres)*(cfg.Engines+1) + 1
	var err error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort-row)
		if err = free(ctx, ips, port, row); err == nil {
			return port, nil
		}
	}
	return 0, trace.Wrap(err, "no %d ports in a row are free", row)
}

// free tells whether a row of ports can be listened on at some addresses.
func free(ctx context.Context, ips []string, port, row int) error {
	var lc net.ListenConfig
	for _, ip := range ips {
		for n := range row {
			ln, err := lc.Listen(ctx, "tcp", net.JoinHostPort(ip, fmt.Sprint(port+n)))
			if err != nil {
				return trace.Wrap(err)
			}
			_ = ln.Close()
		}
	}
	return nil
}
