// Package claimer prevents repeated execution of non-idempotent requests: a node
// dispatches one only after the platform's log has made its claim the first live
// one of the key.
package claimer

import (
	"cmp"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// Defaults of Config.
const (
	defaultPartitions = 1
	defaultMaxBatch   = 256
	defaultWait       = 2 * time.Second
	defaultHorizon    = 10 * time.Minute
)

// Config holds the settings and dependencies of a Claimer.
type Config struct {
	Log      provider.Log
	Recorder *recorder.Recorder
	Counters *counter.Set
	// Node and Incarnation identify this process in its claims.
	Node        string
	Incarnation string
	// Partitions is the number of streams. It must be the same on all nodes. All
	// streams share the log's append rate, so each further one makes batches
	// smaller.
	Partitions int
	// Linger is how long a batch waits for more entries.
	Linger time.Duration
	// MaxBatch bounds the entries of a record.
	MaxBatch int
	// Wait bounds how long a retry waits until the holder's claim ends.
	Wait time.Duration
	// Horizon is how long keys without an issue time remain valid, and how long
	// answers are kept. It must be the same on all nodes.
	Horizon time.Duration
	// AnswerBytes bounds the memory in bytes of the recorded answers that this node keeps of all
	// streams; 0 means 16 MB a stream.
	AnswerBytes int
	// HasEnded reports whether a process is known to have ended; nil means that none
	// is. A retry does not wait for a holder that is gone.
	HasEnded func(node, incarnation string) bool
	// Homes returns the nodes that follow a partition's stream, including this
	// node if it is one; other nodes query them. Nil means that every node
	// follows every stream.
	Homes func(partition int) []string
	// Query sends a query to another node's HandleQuery method.
	Query func(ctx context.Context, node string, query []byte) ([]byte, error)
	// Now returns the current time. At-most-once execution does not depend on it.
	Now func() time.Time
	// NewNonce returns a string that is unique across all nodes and restarts.
	NewNonce func() string
}

// withDefaults returns a copy with defaults for fields that are not set.
func (c Config) withDefaults() Config {
	if c.Recorder == nil {
		c.Recorder = recorder.Nop()
	}
	if c.Counters == nil {
		c.Counters = counter.New()
	}
	c.Partitions = cmp.Or(c.Partitions, defaultPartitions)
	c.MaxBatch = cmp.Or(c.MaxBatch, defaultMaxBatch)
	c.Wait = cmp.Or(c.Wait, defaultWait)
	c.Horizon = cmp.Or(c.Horizon, defaultHorizon)
	if c.HasEnded == nil {
		c.HasEnded = func(string, string) bool { return false }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.NewNonce == nil {
		c.NewNonce = uuid.NewString
	}
	return c
}

// Claimer records this node's claims in the ledger and decides on attempts by
// its records.
type Claimer struct {
	cfg        Config
	partitions []*partition
}

// New returns a claimer, which needs its Step to run.
func New(cfg Config) *Claimer {
	c := &Claimer{cfg: cfg.withDefaults()}
	for i := range c.cfg.Partitions {
		c.partitions = append(c.partitions, newPartition(c.cfg, i))
	}
	return c
}

// Step returns the step that follows the partitions and appends batches.
func (c *Claimer) Step() grouper.Step {
	var steps []grouper.Step
	for _, p := range c.partitions {
		steps = append(steps,
			grouper.Step{Name: p.stream + ".follow", Run: p.followWhileHome},
			grouper.Step{Name: p.stream + ".commit", Run: p.commit},
		)
	}
	return grouper.Group("ledger", steps...)
}

// Ready reports whether every partition that this node follows has ever been read
// to its end.
func (c *Claimer) Ready() bool {
	for _, p := range c.partitions {
		if !p.caughtUp() {
			return false
		}
	}
	return true
}

// partitionOf returns the partition of a key.
func (c *Claimer) partitionOf(key reducer.Key) *partition {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key.Organisation)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key.Name)
	return c.partitions[h.Sum64()%uint64(len(c.partitions))]
}

// Outcome is the node's knowledge of a key.
type Outcome struct {
	// Phase is the progress of the request.
	Phase reducer.Phase
	// Ran is done once the answer is recorded, else maybe, as the node may lag
	// behind the log.
	Ran refuser.Ran
	// Answer is the recorded answer; nil unless its body was recorded.
	Answer *Answer
	// Holder is the node that holds the claim, if any.
	Holder string
}

// Lookup returns the node's knowledge of a key, and false if it has none. The
// node may lag behind the log and has forgotten keys older than its horizon.
func (c *Claimer) Lookup(organisation, key string) (Outcome, bool) {
	k := reducer.Key{Organisation: organisation, Name: key}
	p := c.partitionOf(k)
	defer p.watchKey(context.Background(), k)()
	s := p.state(k)
	if s.At == 0 {
		return Outcome{}, false
	}
	ran := refuser.Maybe
	if s.Phase == reducer.Finished {
		ran = refuser.Done
	}
	return Outcome{Phase: s.Phase, Ran: ran, Answer: recordedAnswer(s.Answer), Holder: s.Holder.Node}, true
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
