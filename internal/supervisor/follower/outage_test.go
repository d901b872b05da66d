package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/provider"
	"banyanquay/internal/refuser"
)

// TestFirstPublishOfAnOutageSaysNever publishes in an outage that the node hasn't
// noticed yet, since its read still waits for a record. A change that is refused
// with Never must not take effect later.
func TestFirstPublishOfAnOutageSaysNever(t *testing.T) {
	tests := map[string]func(t *testing.T) (log provider.Log, outage func(down bool)){
		"refused": func(*testing.T) (provider.Log, func(bool)) {
			l := newFakeLog()
			return provider.Log{Append: l.append, Read: l.read}, l.outage
		},
		"silent": func(t *testing.T) (provider.Log, func(bool)) {
			network := newNodeNetwork(t, newPlatform(t), usualLatency)
			return network.log, func(down bool) {
				network.hangDials.Store(down)
				network.dropWrites()
			}
		},
	}
	for name, open := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, outage := open(t)
				n := startOn(t, log, time.Hour, "n1", "n1")
				time.Sleep(12 * time.Second)
				outage(true)
				begun := time.Now()
				_, err := n.Publish(t.Context(), change("acme", 0, 0.5))
				if code, ran := refusalOf(t, err); code != refuser.LogUnavailable || ran != refuser.Never {
					t.Errorf("got %v after %v, want log_unavailable and never", err, time.Since(begun))
				}
				if got := time.Since(begun); got > probeTimeout {
					t.Errorf("got the answer after %v, want it within %v", got, probeTimeout)
				}
				outage(false)
				time.Sleep(time.Minute)
				if o, ok := n.View().Organisation("acme"); ok {
					t.Errorf("got %+v of a change that was refused with never", o)
				}
				if _, err := n.Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
					t.Errorf("got %v after the outage, want the change accepted", err)
				}
			})
		})
	}
}
