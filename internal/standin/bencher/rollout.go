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

// loading is the time that engines get to load a version and nodes to learn
// of it.
const loading = 3 * time.Second

// rollOut moves every organisation to the later version: all engines load it
// beside the one in force, the templates change, and at the cure the engines
// drop the one before. The engines and templates stay as they are after it.
func (b *Bencher) rollOut() alteration {
	return alteration{
		incident: incident{
			kind: kindRolledOut,
			affects: func(context.Context) (func(o outcome) bool, error) {
				return func(outcome) bool { return true }, nil
			},
			cause: b.loadAndPublish,
			cure:  b.dropEarlier,
		},
		lasts: 3,
		later: b.cfg.Later,
	}
}

// spread is the time in which nodes take over a published change.
const spread = 300 * time.Millisecond

// rollOutAndKill is a roll-out during which a node is killed: streams of the
// version before go on elsewhere when the templates have moved.
func (b *Bencher) rollOutAndKill() alteration {
	nodes := b.nodes(b.cfg.Nodes[0].Policy)
	a := b.rollOut()
	a.kind = kindRolledOutKilled
	a.cause = func(ctx context.Context) error {
		if err := b.loadAndPublish(ctx); err != nil {
			return err
		}
		time.Sleep(spread)
		return kill(nodes[len(nodes)-1].PID)(ctx)
	}
	return a
}

// loadAndPublish makes all engines hold both versions, then publishes the later.
func (b *Bencher) loadAndPublish(ctx context.Context) error {
	err := b.orderAll(ctx, func(h driver.Holding) []driver.Holding {
		later := h
		later.Version = b.cfg.Later
		return []driver.Holding{h, later}
	})
	if err != nil {
		return err
	}
	time.Sleep(loading)
	node := b.cfg.Nodes[0].Address
	list, err := administer[administrator.OrganisationList](ctx, b, http.MethodGet, node, "/organisations", nil, 0)
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
	return b.orderAll(ctx, func(h driver.Holding) []driver.Holding {
		if h.Version != b.cfg.Later {
			return nil
		}
		return []driver.Holding{h}
	})
}

// orderAll replaces every holding of every engine.
func (b *Bencher) orderAll(ctx context.Context, replace func(h driver.Holding) []driver.Holding) error {
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

// publish moves an organisation's template to the later version.
func (b *Bencher) publish(ctx context.Context, node, name string) error {
	path := "/organisations/" + name
	document, err := administer[administrator.OrganisationDocument](ctx, b, http.MethodGet, node, path, nil, 0)
	if err != nil {
		return err
	}
	document.Template.Model.Version = b.cfg.Later
	body, err := encoder.JSON(document.Template)
	if err != nil {
		return err
	}
	_, err = administer[administrator.Change](ctx, b, http.MethodPut, node, path, body, document.Revision)
	return err
}

// administer calls the administration API. A body is a change made from the
// base.
func administer[T any](ctx context.Context, b *Bencher, method, node, path string, body []byte, base describer.Revision) (T, error) {
	var none T
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+administrator.Prefix+path, bytes.NewReader(body))
	if err != nil {
		return none, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+b.cfg.OperatorKey)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("If-Match", `"`+strconv.FormatUint(uint64(base), 10)+`"`)
	}
	resp, err := b.control.Do(req)
	if err != nil {
		return none, trace.Wrap(err, "%s %s at %s", method, path, node)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return none, trace.Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return none, trace.BadParameter("%s %s at %s: %s: %s", method, path, node, resp.Status, data)
	}
	return encoder.FromJSON[T](data)
}

// versions counts the whole answers of each version, if there are two.
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
