package supervisor

import (
	"net/http"
	"testing"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/standin/archiver"
	"banyanquay/internal/standin/generator"
	"banyanquay/internal/supervisor/tracker"
)

// A chat is refused while no engine holds a range of its model's layers. It is
// answered once the holder of the lease has ordered an engine to load the range.
func TestAMissingRangeIsLoadedAndTheRefusedChatAnswered(t *testing.T) {
	f := &fleet{t: t}
	var vms []provider.VM
	for i, cfg := range []generator.Config{
		{Holdings: []driver.Holding{{Model: testModel, Version: testVersion, First: 0, Last: 4, Layers: testLayers}}},
		{Holdings: []driver.Holding{{Model: testModel, Version: testVersion, First: 8, Last: 12, Layers: testLayers}}},
		{Capacity: 4, ChecksFence: true, LoadTime: 100 * time.Millisecond},
	} {
		g := generator.New(cfg)
		f.engines = append(f.engines, g)
		vms = append(vms, provider.VM{Address: serve(t, g.Handler(), g.Silence()), Role: provider.RoleEndpoint, Centre: centre(i)})
	}
	spare := f.engines[2].Control()
	freeze := func(on bool) {
		spare.Update(func(sw generator.Switches) generator.Switches {
			sw.Freeze = on
			return sw
		})
	}
	freeze(true)
	for i := range 2 {
		f.nodes = append(f.nodes, freeAddress(t))
		vms = append(vms, provider.VM{Address: f.nodes[i], Role: provider.RoleNode, Centre: centre(i)})
	}
	f.platform = archiver.New(archiver.Config{VMs: vms})
	url := "http://" + serve(t, f.platform.Handler(), nil)
	for i, node := range f.nodes {
		s := nodeSettings(node, centre(i), url)
		s.Placement.Enabled = true
		s.Placement.Every.Duration = 50 * time.Millisecond
		f.settings = append(f.settings, s)
		f.apps = append(f.apps, f.start(i))
	}
	f.putOrganisation("desk", callerKey, "none")
	f.await("the endpoints that answer", func() bool { return f.countServing(f.nodes[0]) == 2 })
	if got := f.chat(f.nodes[0]); got.status != http.StatusServiceUnavailable {
		t.Fatalf("without a holder of layers 4 to 8: got %d %s, want 503", got.status, got.body)
	}
	freeze(false)
	f.await("the range to be loaded", func() bool { return len(f.engines[2].Status().Holdings) > 0 })
	f.await("the chat to be answered", func() bool { return f.chat(f.nodes[0]).status == http.StatusOK })
	want := driver.Holding{Model: testModel, Version: testVersion, First: 4, Last: 8, Layers: testLayers}
	got := f.engines[2].Status().Holdings
	if len(got) != 1 || got[0].First != want.First || got[0].Last != want.Last {
		t.Errorf("got holdings %v, want %v", got, want)
	}
}

// A node that has just started knows the incarnation of no other process. It must
// not conclude from this that the holder of the lease has ended.
func TestAHolderNotHeardOfHasNotEnded(t *testing.T) {
	nodes := []tracker.Node{
		{Address: "unheard", Down: true},
		{Address: "down", Incarnation: "1", Down: true},
		{Address: "new", Incarnation: "2"},
		{Address: "live", Incarnation: "1"},
	}
	for address, want := range map[string]bool{"unheard": false, "down": true, "new": true, "live": false} {
		if got := knownProcessEnded(nodes, address, "1"); got != want {
			t.Errorf("%s: got ended %v, want %v", address, got, want)
		}
	}
}
