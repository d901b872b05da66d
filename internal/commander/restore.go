package commander

import (
	"context"
	"net/http"

	"banyanquay/internal/supervisor/administrator"
)

// restoreCommand puts a node's last known configuration in force at every node.
type restoreCommand struct {
	Yes bool `arg:"--yes" help:"do it; what the node has missed is lost for good"`
}

func (*restoreCommand) examples() string {
	return "  banyanquay nodes                                      # find the node with the highest applied offset\n" +
		"  banyanquay --node http://10.0.0.7:8080 restore --yes\n"
}

func (c *restoreCommand) run(ctx context.Context, s session) error {
	if !c.Yes {
		return &usageError{"restore discards every change that the node has missed; see docs/CONFIGURATION.md for when to use it, and confirm with --yes"}
	}
	if len(s.client.nodes) != 1 {
		return &usageError{"restore takes exactly one --node: the one whose configuration is put in force"}
	}
	req := request{method: http.MethodPost, path: administrator.Prefix + "/restore"}
	change, err := call[administrator.ChangeResult](ctx, s.client, req)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(change)
	}
	printf(s.cfg.Stdout, "restored: every organisation is at revision %d; publish the missing changes again\n", change.Revision)
	return nil
}
