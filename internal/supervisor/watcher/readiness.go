package watcher

import (
	"time"

	"banyanquay/internal/supervisor/replicator"
)

// completeTimeout is the time after the first list from which the view counts as
// complete even if endpoints have neither answered nor refused a connection.
const completeTimeout = 5 * time.Second

// complete reports whether the state of every listed endpoint is known, by this node's
// polls or from another node.
func (c *core) complete() bool {
	for address := range c.locations {
		e, known := c.table.Get(address)
		if known && e.Condition != replicator.Gone {
			continue
		}
		if c.localState(address).failures < failureThreshold {
			return false
		}
	}
	return true
}

// Complete reports whether the watcher has ever had a view of the whole fleet: it has
// read the list, and has received the state of every endpoint on it or waited for
// completeTimeout. A new endpoint does not change that.
func (w *Watcher) Complete() bool {
	return w.completed.Load()
}

// updateCompleted publishes the first view of the whole fleet and sets completed;
// the caller holds mu. listed is set if the core has been given the platform's
// list.
func (w *Watcher) updateCompleted(now time.Time, listed bool) {
	if w.completed.Load() || !listed {
		return
	}
	if w.listedAt.IsZero() {
		w.listedAt = now
	}
	if w.core.complete() || now.Sub(w.listedAt) >= completeTimeout {
		w.publish()
		w.completed.Store(true)
	}
}
