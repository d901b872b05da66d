package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/responder"
	"banyanquay/internal/supervisor/administrator"
)

// printJSON prints a value as one line of JSON.
func (s session) printJSON(v any) error {
	data, err := encoder.JSON(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.cfg.Stdout, string(data))
	return err
}

// printResource reads a resource and prints it as JSON or as a table.
func printResource[Out any](ctx context.Context, s session, path string, rows func(out Out) [][]string) error {
	out, err := get[Out](ctx, s.client, path)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(out)
	}
	tw := tabwriter.NewWriter(s.cfg.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows(out) {
		printf(tw, "%s\n", strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// orgsCommand lists organisations.
type orgsCommand struct{}

func (*orgsCommand) examples() string {
	return "  banyanquay orgs\n  banyanquay orgs --json\n"
}

func (*orgsCommand) run(ctx context.Context, s session) error {
	return printResource(ctx, s, "/organisations", func(list administrator.OrganisationList) [][]string {
		rows := [][]string{{"ORGANISATION", "REVISION", "MODEL", "SHARE"}}
		for _, o := range list.Organisations {
			rows = append(rows, []string{o.Name, fmt.Sprint(o.Revision), o.Model, fmt.Sprint(o.Share)})
		}
		return rows
	})
}

// historyCommand lists the changes of an organisation.
type historyCommand struct {
	Org string `arg:"positional,required" placeholder:"ORG" help:"the organisation's name"`
}

func (*historyCommand) examples() string {
	return "  banyanquay history acme\n"
}

func (c *historyCommand) run(ctx context.Context, s session) error {
	return printResource(ctx, s, organisationPath(c.Org)+"/history", func(list administrator.HistoryList) [][]string {
		rows := [][]string{{"REVISION", "AT", "OPERATOR", "WHAT", "CHANGE", "NOTE"}}
		for _, change := range list.Changes {
			what := "published"
			if change.Removed {
				what = "removed"
			}
			at := time.UnixMilli(change.At).UTC().Format(time.RFC3339)
			rows = append(rows, []string{fmt.Sprint(change.Revision), at, change.Operator, what, change.ID, change.Note})
		}
		return rows
	})
}

// nodesCommand lists nodes.
type nodesCommand struct{}

func (*nodesCommand) examples() string {
	return "  banyanquay nodes\n"
}

func (*nodesCommand) run(ctx context.Context, s session) error {
	return printResource(ctx, s, "/nodes", func(list administrator.NodeList) [][]string {
		rows := [][]string{{"NODE", "CENTRE", "STATE", "APPLIED", "CAUGHT UP"}}
		for _, n := range list.Nodes {
			rows = append(rows, []string{n.Address, n.Centre, n.State, fmt.Sprint(n.Applied), fmt.Sprint(n.CaughtUp)})
		}
		return rows
	})
}

// endpointsCommand lists endpoints.
type endpointsCommand struct {
	Bound bool `arg:"--bound" help:"show the throughput that they allow, by model version"`
}

func (*endpointsCommand) examples() string {
	return "  banyanquay endpoints\n  banyanquay endpoints --bound\n"
}

func (c *endpointsCommand) run(ctx context.Context, s session) error {
	if c.Bound {
		return printBound(ctx, s)
	}
	return printResource(ctx, s, "/endpoints", func(list administrator.EndpointList) [][]string {
		rows := [][]string{{"ENDPOINT", "CENTRE", "ROLE", "STATE", "HOLDS", "RUNNING"}}
		for _, e := range list.Endpoints {
			running := fmt.Sprintf("%d/%d", e.Status.Running, e.Status.Slots)
			rows = append(rows, []string{e.Address, e.Centre, e.Role, endpointState(e), formatHoldings(e.Status), running})
		}
		return rows
	})
}

// printBound prints the throughput that the endpoints allow for each model version.
func printBound(ctx context.Context, s session) error {
	return printResource(ctx, s, "/bound", func(b administrator.ThroughputBound) [][]string {
		rows := [][]string{{"MODEL", "VERSION", "TOKENS/S"}}
		for _, m := range b.Models {
			rows = append(rows, []string{m.Model, m.Version, fmt.Sprintf("%.1f", m.Tokens)})
		}
		return rows
	})
}

// endpointState returns the displayed state of an endpoint.
func endpointState(e driver.Endpoint) string {
	switch {
	case e.Down:
		return "down"
	case e.Status.Leaving:
		return "leaving"
	case e.Suspect:
		return "doubted"
	default:
		return "serving"
	}
}

// formatHoldings formats the layer ranges and services of an endpoint.
func formatHoldings(st driver.Status) string {
	var list []string
	for _, h := range st.Holdings {
		list = append(list, fmt.Sprintf("%s@%s[%d,%d)", h.Model, h.Version, h.First, h.Last))
	}
	return strings.Join(append(list, st.Services...), " ")
}

// drainCommand makes a node leave the fleet.
type drainCommand struct {
	Node    string        `arg:"positional,required" placeholder:"NODE" help:"the node's address, as \"banyanquay nodes\" lists it"`
	Wait    bool          `arg:"--wait" help:"return once the node has left the list"`
	Timeout time.Duration `arg:"--timeout" default:"10m" help:"how long to wait"`
}

func (*drainCommand) examples() string {
	return "  banyanquay drain 10.0.0.7:8080\n  banyanquay drain 10.0.0.7:8080 --wait --timeout 5m\n"
}

func (c *drainCommand) run(ctx context.Context, s session) error {
	var before administrator.NodeView
	if c.Wait {
		var err error
		if before, err = c.findNode(ctx, s); err != nil {
			return err
		}
	}
	path := administrator.Prefix + "/nodes/" + url.PathEscape(c.Node) + "/drain"
	if _, err := call[responder.Empty](ctx, s.client, request{method: http.MethodPost, path: path}); err != nil {
		return err
	}
	out := drainOutput{Node: c.Node}
	var err error
	if c.Wait {
		err = c.wait(ctx, s, before.Incarnation)
		out.Gone = err == nil
	}
	switch {
	case s.json:
		return errors.Join(s.printJSON(out), err)
	case out.Gone:
		printf(s.cfg.Stdout, "%s is gone\n", c.Node)
	case err == nil:
		printf(s.cfg.Stdout, "%s is leaving; run \"banyanquay nodes\" to see when it is gone\n", c.Node)
	}
	return err
}

// drainOutput is the JSON output of drain.
type drainOutput struct {
	Node string `json:"node"`
	// Gone is set once the drained process has ended.
	Gone bool `json:"gone"`
}

// wait polls until the drained process has ended: the node is down, no longer
// listed, or has a new incarnation.
func (c *drainCommand) wait(ctx context.Context, s session, incarnation string) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	lastState := ""
	for {
		node, err := c.findNode(ctx, s)
		if err == nil && (node.Down || node.Incarnation != incarnation) {
			return nil
		}
		if err == nil && node.State != lastState {
			printf(s.cfg.Stderr, "%s is %s\n", c.Node, node.State)
			lastState = node.State
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s has not left after %v; the drain continues, see \"banyanquay nodes\"", c.Node, c.Timeout)
		case <-time.After(s.cfg.PollInterval):
		}
	}
}

// findNode returns the listed node, or an empty view if it is not listed.
func (c *drainCommand) findNode(ctx context.Context, s session) (administrator.NodeView, error) {
	list, err := get[administrator.NodeList](ctx, s.client, "/nodes")
	if err != nil {
		return administrator.NodeView{}, err
	}
	for _, n := range list.Nodes {
		if n.Address == c.Node {
			return n, nil
		}
	}
	return administrator.NodeView{}, nil
}
