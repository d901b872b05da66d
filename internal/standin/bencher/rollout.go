package bencher

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/administrator"
)

// loadTime is the time for the engines to load a version and for the nodes to
// learn of it.
const loadTime = 3 * time.Second

// rollOut changes every organisation to the later version: all engines load it in
// addition to the current one, the templates change, and at the revert the
// engines drop the earlier version. The engines and templates then stay at the
// later version.
func (b *Bencher) rollOut() changePlan {
	return changePlan{
		faultPlan: faultPlan{
			kind: kindRolledOut,
			affects: func(context.Context) (func(o outcome) bool, error) {
				return func(outcome) bool { return true }, nil
			},
			cause:  b.loadAndPublish,
			revert: b.dropEarlier,
		},
		windows: 3,
		later:   b.cfg.Later,
	}
}

// publishDelay is the time in which nodes apply a published change.
const publishDelay = 300 * time.Millisecond

// rollOutAndKill is a roll-out during which a node is killed: streams of the
// earlier version continue at another node after the templates have changed.
func (b *Bencher) rollOutAndKill() changePlan {
	nodes := b.nodes(b.cfg.Nodes[0].Policy)
	a := b.rollOut()
	a.kind = kindRolledOutKilled
	a.cause = func(ctx context.Context) error {
		if err := b.loadAndPublish(ctx); err != nil {
			return err
		}
		time.Sleep(publishDelay)
		return kill(nodes[len(nodes)-1].PID)(ctx)
	}
	return a
}

// loadAndPublish makes all engines hold both versions, then publishes the later.
func (b *Bencher) loadAndPublish(ctx context.Context) error {
	err := b.replaceHoldings(ctx, func(h driver.Holding) []driver.Holding {
		later := h
		later.Version = b.cfg.Later
		return []driver.Holding{h, later}
	})
	if err != nil {
		return err
	}
	time.Sleep(loadTime)
	node := b.cfg.Nodes[0].Address
	list, err := callAdministration[administrator.OrganisationList](ctx, b, http.MethodGet, node, "/organisations", nil, 0)
	if err != nil {
		return err
	}
	for _, o := range list.Organisations {
		if err := b.publish(ctx, node, o.Name); err != nil {
			return err
		}
	}
	return nil
}

// dropEarlier makes all engines hold the later version only.
func (b *Bencher) dropEarlier(ctx context.Context) error {
	return b.replaceHoldings(ctx, func(h driver.Holding) []driver.Holding {
		if h.Version != b.cfg.Later {
			return nil
		}
		return []driver.Holding{h}
	})
}

// replaceHoldings replaces every holding of every engine.
func (b *Bencher) replaceHoldings(ctx context.Context, replace func(h driver.Holding) []driver.Holding) error {
	for _, e := range b.cfg.Endpoints {
		status, err := fetch[driver.Status](ctx, b.control, e.Address, "/status")
		if err != nil {
			return err
		}
		var order driver.Order
		for _, h := range status.Holdings {
			order.Hold = append(order.Hold, replace(h)...)
		}
		body, err := encoder.JSON(order)
		if err != nil {
			return err
		}
		if _, err := exchange[struct{}](ctx, b.control, http.MethodPost, e.Address, "/orders", body); err != nil {
			return err
		}
	}
	return nil
}

// publish changes an organisation's template to the later version.
func (b *Bencher) publish(ctx context.Context, node, name string) error {
	path := "/organisations/" + name
	document, err := callAdministration[administrator.OrganisationDocument](ctx, b, http.MethodGet, node, path, nil, 0)
	if err != nil {
		return err
	}
	document.Template.Model.Version = b.cfg.Later
	body, err := encoder.JSON(document.Template)
	if err != nil {
		return err
	}
	_, err = callAdministration[administrator.ChangeResult](ctx, b, http.MethodPut, node, path, body, document.Revision)
	return err
}

// callAdministration calls the administration API. A request with a body is a
// change, conditional on the base revision.
func callAdministration[T any](ctx context.Context, b *Bencher, method, node, path string, body []byte, base describer.Revision) (T, error) {
	var zero T
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+administrator.Prefix+path, bytes.NewReader(body))
	if err != nil {
		return zero, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+b.cfg.OperatorKey)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("If-Match", `"`+strconv.FormatUint(uint64(base), 10)+`"`)
	}
	resp, err := b.control.Do(req)
	if err != nil {
		return zero, trace.Wrap(err, "%s %s at %s", method, path, node)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return zero, trace.Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return zero, trace.BadParameter("%s %s at %s: %s: %s", method, path, node, resp.Status, data)
	}
	return encoder.FromJSON[T](data)
}

// versions counts the complete answers of each version, or returns nil if there
// is only one version.
func (r *run) versions() []Version {
	if r.later == "" {
		return nil
	}
	counts := make(map[string]int)
	for _, o := range r.done {
		if o.err == nil {
			counts[o.version]++
		}
	}
	var versions []Version
	for name, whole := range counts {
		versions = append(versions, Version{Name: name, Whole: whole})
	}
	slices.SortFunc(versions, func(x, y Version) int { return cmp.Compare(x.Name, y.Name) })
	return versions
}
