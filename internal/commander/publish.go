package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/describer"
	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/administrator"
)

// publishCommand publishes or removes an organisation's template.
type publishCommand struct {
	File    string        `arg:"positional" placeholder:"FILE" help:"the template, .toml or .json"`
	Remove  string        `arg:"--remove" placeholder:"ORG" help:"remove this organisation in place of publishing a file"`
	Base    *uint64       `arg:"--base" placeholder:"N" help:"the revision that the change was made from; without it only a new organisation can be published"`
	Note    string        `arg:"--note" help:"why, for the history"`
	Wait    bool          `arg:"--wait" help:"return once every live node has the change in force"`
	Timeout time.Duration `arg:"--timeout" default:"60s" help:"how long to wait"`
}

func (*publishCommand) examples() string {
	return `  banyanquay publish acme.toml                      # a new organisation
  banyanquay publish acme.toml --base 3 --wait      # a change made from revision 3
  banyanquay publish --remove acme --base 4
`
}

// publishOutput is the JSON output of publish.
type publishOutput struct {
	administrator.ChangeResult
	Organisation string `json:"organisation"`
	// InForce is set once every live node has applied the change.
	InForce bool `json:"in_force"`
	// Missing are the live nodes that have not applied it.
	Missing []string `json:"missing,omitempty"`
}

func (c *publishCommand) run(ctx context.Context, s session) error {
	req, name, err := c.buildRequest()
	if err != nil {
		return err
	}
	change, err := call[administrator.ChangeResult](ctx, s.client, req)
	if err != nil {
		return c.addConflictHint(err, name)
	}
	out := publishOutput{ChangeResult: change, Organisation: name}
	if !s.json {
		printf(s.cfg.Stdout, "%s accepted at revision %d, offset %d\n", name, change.Revision, change.Offset)
	}
	if c.Wait {
		out.Missing, err = c.wait(ctx, s, change.Offset)
		out.InForce = err == nil
	}
	if s.json {
		return errors.Join(s.printJSON(out), err)
	}
	if out.InForce {
		printf(s.cfg.Stdout, "in force at every live node\n")
	}
	return err
}

// buildRequest returns the request for a file or a removal, and the name of the
// organisation.
func (c *publishCommand) buildRequest() (request, string, error) {
	header := make(http.Header)
	if c.Note != "" {
		header.Set("Note", c.Note)
	}
	if c.Base == nil {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+strconv.FormatUint(*c.Base, 10)+`"`)
	}
	switch {
	case (c.File == "") == (c.Remove == ""):
		return request{}, "", &usageError{"publish takes either FILE or --remove ORG"}
	case c.Remove != "" && c.Base == nil:
		return request{}, "", &usageError{"--remove requires --base N, the revision that the removal is based on; see \"banyanquay orgs\""}
	case c.Remove != "":
		path := administrator.Prefix + organisationPath(c.Remove)
		return request{method: http.MethodDelete, path: path, header: header}, c.Remove, nil
	}
	t, err := readTemplate(c.File)
	if err != nil {
		return request{}, "", err
	}
	body, err := encoder.JSON(t)
	if err != nil {
		return request{}, "", trace.Wrap(err)
	}
	header.Set("Content-Type", jsonType)
	path := administrator.Prefix + organisationPath(t.Name)
	return request{method: http.MethodPut, path: path, header: header, body: body}, t.Name, nil
}

// readTemplate reads and validates a template file.
func readTemplate(file string) (describer.Template, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return describer.Template{}, &usageError{err.Error()}
	}
	t, faults := templateParser(file)(data)
	if len(faults) > 0 {
		return t, faultsError(file, faults)
	}
	return t, nil
}

// templateParser selects the parser of a template file by its extension.
func templateParser(file string) func(data []byte) (describer.Template, []string) {
	if filepath.Ext(file) == ".json" {
		return describer.ParseJSON
	}
	return describer.ParseTOML
}

// faultsError lists the validation errors of a file.
func faultsError(file string, faults []string) error {
	return trace.BadParameter("%s has %d faults:\n  - %s", file, len(faults), strings.Join(faults, "\n  - "))
}

// addConflictHint adds to a conflict how to resolve it.
func (c *publishCommand) addConflictHint(err error, name string) error {
	var p *problemError
	if !errors.As(err, &p) || p.problem.Code != int(refuser.Conflict) {
		return err
	}
	return fmt.Errorf("%w\n  see \"banyanquay history %s\" and \"banyanquay diff FILE\", then publish with --base N", err, name)
}

// wait polls until every live node has applied the record at an offset, and returns
// the nodes that have not.
func (c *publishCommand) wait(ctx context.Context, s session, offset provider.Offset) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	missing := []string{"(unknown: no node reported the offsets)"}
	lastMissing := -1
	for {
		list, err := get[administrator.OffsetList](ctx, s.client, "/offsets")
		if err == nil {
			missing = nodesBehind(list, offset)
			if len(missing) == 0 && len(list.Nodes) > 0 {
				return nil, nil
			}
			if len(missing) != lastMissing {
				printf(s.cfg.Stderr, "in force at %d of %d nodes\n", len(list.Nodes)-len(missing), len(list.Nodes))
				lastMissing = len(missing)
			}
		}
		select {
		case <-ctx.Done():
			return missing, trace.LimitExceeded("accepted, but after %v not yet in force at %s", c.Timeout, strings.Join(missing, ", "))
		case <-time.After(s.cfg.PollInterval):
		}
	}
}

// nodesBehind returns the nodes that have not applied the record at an offset.
func nodesBehind(list administrator.OffsetList, offset provider.Offset) []string {
	var missing []string
	for _, n := range list.Nodes {
		if n.Applied <= offset {
			missing = append(missing, n.Address)
		}
	}
	return missing
}
