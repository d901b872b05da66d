package supervisor

import (
	"context"
	"strconv"

	"banyanquay/internal/loader"
	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/tracker"
)

// homes returns the function that selects the homes of a ledger partition, the nodes
// that follow its stream and answer the other nodes' queries: the first Ledger.Homes
// live nodes in the partition's rendezvous order. It returns nil if every node
// follows every partition.
func homes(s loader.Settings, t *tracker.Tracker) func(partition int) []string {
	if s.Ledger.Homes == 0 {
		return nil
	}
	return func(partition int) []string {
		return ranker.Of(strconv.Itoa(partition)).Top(t.Live(), s.Ledger.Homes)
	}
}

// queryHome returns the function that queries another node for its state of the
// ledger.
func queryHome(links *linker.Linker) func(ctx context.Context, node string, query []byte) ([]byte, error) {
	return func(ctx context.Context, node string, query []byte) ([]byte, error) {
		return links.Query(ctx, node, linker.Ledger, query)
	}
}
