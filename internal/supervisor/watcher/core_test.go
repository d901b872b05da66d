package watcher

import (
	"testing"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
)

const endpointAddress = "10.1.0.1:9090"

// coreWithEndpoint returns a core that knows one endpoint of incarnation a.
func coreWithEndpoint(now time.Time) *core {
	c := newCore("10.0.0.1:8080")
	c.applyList(now, []provider.VM{{Address: endpointAddress, Role: provider.RoleEndpoint, Centre: "c"}})
	c.pollSucceeded(now, now, endpointAddress, driver.Status{Incarnation: "a"})
	return c
}

// serving reports whether the core's view lets the endpoint get new work.
func (c *core) serving(now time.Time) bool {
	all := c.endpoints(now)
	return len(all) == 1 && all[0].Serving()
}

func TestPollsFromBeforePauseAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coreWithEndpoint(now)
	c.reportLeaving(now.Add(time.Minute), endpointAddress)
	resumed := now.Add(time.Hour)
	c.pollSucceeded(resumed, now, endpointAddress, driver.Status{Incarnation: "b"})
	if c.serving(resumed) {
		t.Error("got an endpoint serving because of an answer that is an hour old")
	}
	c.pollFailed(resumed, now, endpointAddress)
	if got := c.localStates[endpointAddress].failures; got != 0 {
		t.Errorf("got %d failures from polls that are an hour old, want 0", got)
	}
}

func TestLeavingReportAfterRestartIsVerified(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coreWithEndpoint(now)
	now = now.Add(time.Minute)
	c.pollSucceeded(now, now, endpointAddress, driver.Status{Incarnation: "b"})
	if confirmed := c.reportLeaving(now.Add(time.Second), endpointAddress); confirmed {
		t.Error("got a report accepted right after a new incarnation, want a poll")
	}
	if c.serving(now.Add(time.Second)) {
		t.Error("got an endpoint serving while a report is unconfirmed")
	}
	now = now.Add(2 * time.Second)
	c.pollSucceeded(now, now, endpointAddress, driver.Status{Incarnation: "b"})
	if !c.serving(now) {
		t.Error("got the new incarnation not serving, want it serving after a poll")
	}
	if confirmed := c.reportLeaving(now.Add(time.Second), endpointAddress); !confirmed || c.serving(now.Add(time.Hour)) {
		t.Error("got a report about an established incarnation rejected, or the endpoint serving again")
	}
}

func TestListedLeavingAppliesToOneIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coreWithEndpoint(now)
	leaving := []provider.VM{{Address: endpointAddress, Role: provider.RoleEndpoint, Centre: "c", Leaving: true}}
	c.applyList(now, leaving)
	if c.serving(now) {
		t.Error("got an endpoint serving that is leaving by the list")
	}
	c.pollSucceeded(now, now, endpointAddress, driver.Status{Incarnation: "b"})
	c.applyList(now, leaving)
	if !c.serving(now) {
		t.Error("got the next incarnation not serving because of a lagging list")
	}
}

func TestCompleteOnceEveryEndpointIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	unresponsive := provider.VM{Address: "10.1.0.2:9090", Role: provider.RoleEndpoint, Centre: "c"}
	c := newCore("10.0.0.1:8080")
	if !c.complete() {
		t.Error("got an empty list incomplete, want nothing to wait for")
	}
	c.applyList(now, []provider.VM{{Address: endpointAddress, Role: provider.RoleEndpoint, Centre: "c"}, unresponsive})
	c.assignedEndpoints()
	steps := []struct {
		name  string
		apply func()
		want  bool
	}{
		{"nothing", func() {}, false},
		{"one answer", func() { c.pollSucceeded(now, now, endpointAddress, driver.Status{Incarnation: "a"}) }, false},
		{"one failure", func() { c.pollFailed(now, now, unresponsive.Address) }, false},
		{"two failures", func() { c.pollFailed(now, now, unresponsive.Address) }, true},
	}
	for _, step := range steps {
		step.apply()
		if got := c.complete(); got != step.want {
			t.Errorf("after %s: got complete %t, want %t", step.name, got, step.want)
		}
	}
}
