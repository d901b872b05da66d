// Package loader reads and checks the daemon's settings.
package loader

import (
	"time"
)

// Settings holds the contents of the daemon's settings file.
type Settings struct {
	// Address is the host:port on which the node listens and by which other nodes know
	// it.
	Address string `toml:"address"`
	// Centre is the node's data centre.
	Centre string `toml:"centre"`
	// Region is the region of the data centre; empty means one region.
	Region string `toml:"region"`
	// Platform is the base URL of the platform.
	Platform string `toml:"platform"`
	// FleetSecret is the secret shared by all nodes that authenticates links.
	FleetSecret string `toml:"fleet_secret"`
	// Operators are the users of the administration API.
	Operators []Operator `toml:"operators"`

	Log    Log    `toml:"log"`
	Limits Limits `toml:"limits"`
	Stop   Stop   `toml:"stop"`
	Ledger Ledger `toml:"ledger"`
	Flow   Flow   `toml:"flow"`

	Configuration Configuration `toml:"configuration"`
	Placement     Placement     `toml:"placement"`
	Relay         Relay         `toml:"relay"`
}

// Relay configures a node for endpoints that forward requests to each other and
// register in the platform's store.
type Relay struct {
	// Enabled turns this mode on; the platform is then HOST:PORT of the store.
	Enabled bool `toml:"enabled"`
	// Name is the node's name in logs.
	Name string `toml:"name"`
	// Frontend, Readiness, Discovery and Metrics are the addresses to listen on in
	// addition to Address, which is for other nodes.
	Frontend  string `toml:"frontend"`
	Readiness string `toml:"readiness"`
	Discovery string `toml:"discovery"`
	Metrics   string `toml:"metrics"`
	// Seeds are the addresses of other nodes; they may be out of date.
	Seeds []string `toml:"seeds"`
	// MemoryMB is the memory limit in MB at which the process is killed; 0 if there is
	// no limit.
	MemoryMB int `toml:"memory_mb"`
	// DiscoveryTTL is how long callers cache a response with addresses.
	DiscoveryTTL Duration `toml:"discovery_ttl"`
	// Revoke is the time after which a revoked API key must no longer work.
	Revoke Duration `toml:"revoke"`
	// RetryRatio, RetrySlack and RetryWindow are the retry budget of a service: the
	// retries in a window are at most the slack plus the ratio of its requests.
	RetryRatio  float64  `toml:"retry_ratio"`
	RetrySlack  float64  `toml:"retry_slack"`
	RetryWindow Duration `toml:"retry_window"`

	Room    Room    `toml:"room"`
	Prompts Prompts `toml:"prompts"`
}

// Room configures what nodes do while the capacity of a service is short, and how layouts
// provide for that.
type Room struct {
	// Enabled turns the admission of requests by load on.
	Enabled bool `toml:"enabled"`
	// Full is the load of a service's engines from which on no request is admitted.
	Full float64 `toml:"full"`
	// Floor is the share of each class that is admitted below that load.
	Floor float64 `toml:"floor"`
	// React is the time after which a node sees the effect of all nodes' decisions.
	React Duration `toml:"react"`
	// SpareCopies is the number of engines that must be able to hold each layer in every
	// data centre for engines to hold fewer layers and keep more memory for requests; 0
	// means that only services whose routes have several priorities do so.
	SpareCopies int `toml:"spare_copies"`
}

// Prompts configures how long prompts are kept from holding up short ones on the same
// engines.
type Prompts struct {
	// Long is how many times a service's usual prompt a long one exceeds. Such a prompt is
	// held for at most a quarter of its route's target. 0 means that no prompt is long.
	Long float64 `toml:"long"`
}

// Operator is a user of the administration API.
type Operator struct {
	// Name is the operator's name in the history of changes.
	Name string `toml:"name"`
	// KeyHash is the SHA-256 hash of the operator's key in hexadecimal.
	KeyHash string `toml:"key_hash"`
}

// Log configures the daemon's log.
type Log struct {
	// Format is json or console.
	Format string `toml:"format"`
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Rate is the max number of lines per second on standard output; further lines are
	// dropped and counted. 0 writes every line to standard error.
	Rate int `toml:"rate"`
}

// Limits configures the limits on what callers may request from one node.
type Limits struct {
	// BodyBytes is the max size of a request body, in bytes.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes is the max size of a request header, in bytes.
	HeaderBytes int `toml:"header_bytes"`
	// Connections is the max number of open connections whose callers are served; the
	// same number is reserved for operators and other nodes.
	Connections int `toml:"connections"`
	// PerKey is the max number of requests of one API key in progress or waiting.
	PerKey int `toml:"per_key"`
	// Running is the max number of requests in progress.
	Running int `toml:"running"`
	// Queue is the max time that a request waits in the queue.
	Queue Duration `toml:"queue"`
	// Request is the default time limit for a request as a whole.
	Request Duration `toml:"request"`
	// Tokens is the max number of tokens in one answer.
	Tokens int `toml:"tokens"`
	// MemoryMB is the memory limit of the process in MB. 15% of it is for callers' requests, a fifth
	// for endpoints' answers, a tenth for the platform and other nodes and 5% for endpoints' reports.
	// With relay.enabled, relay.memory_mb holds.
	MemoryMB int `toml:"memory_mb"`
}

// Stop configures a planned stop.
type Stop struct {
	// AddressTTL is how long callers cache a response with addresses.
	AddressTTL Duration `toml:"address_ttl"`
	// Deadline is the max time from the signal to the exit.
	Deadline Duration `toml:"deadline"`
}

// Ledger configures the records of non-idempotent requests.
type Ledger struct {
	// Partitions is the number of streams; all nodes must have the same value. With
	// more streams the log's appends are spread over them, and batches are smaller.
	Partitions int `toml:"partitions"`
	// Linger is how long a batch waits for more entries.
	Linger Duration `toml:"linger"`
	// Wait is how long a retry waits for the first attempt's end.
	Wait Duration `toml:"wait"`
	// Homes is the number of nodes that follow each stream on behalf of all; 0 means
	// that every node does. All nodes must have the same value.
	Homes int `toml:"homes"`
	// Horizon is how long a key without an issue time stands.
	Horizon Duration `toml:"horizon"`
}

// Flow configures how requests are routed and retried.
type Flow struct {
	// Policy is least_cost, least_load or round_robin.
	Policy string `toml:"policy"`
	// StepTimeout bounds the time after which a decode step of a stage is given up if
	// another attempt can follow.
	StepTimeout Duration `toml:"step_timeout"`
	// FillTimeout bounds that time for a step that runs a prompt or rebuilds a KV cache;
	// an endpoint whose speed is known gets a shorter timeout.
	FillTimeout Duration `toml:"fill_timeout"`
	// CallTimeout bounds a call to a plain service.
	CallTimeout Duration `toml:"call_timeout"`
	// ProofTimeout bounds dialling and probing a connection before a non-idempotent
	// call.
	ProofTimeout Duration `toml:"proof_timeout"`
	// Replacements is the max number of stages replaced in one request.
	Replacements int `toml:"replacements"`
}

// Configuration configures how the configuration is kept in the log.
type Configuration struct {
	// SnapshotEvery is the max interval between snapshots; it must be at most a third
	// of the log's retention.
	SnapshotEvery Duration `toml:"snapshot_every"`
}

// Placement configures the orders to endpoints.
type Placement struct {
	// Enabled allows this node to take the lease whose holder orders endpoints to load
	// layers and adapters.
	Enabled bool `toml:"enabled"`
	// Loads is the max number of loads in progress in the fleet.
	Loads int `toml:"loads"`
	// Lease is how long the lease is valid without renewal.
	Lease Duration `toml:"lease"`
	// Every is the mean interval between the starts of two loads, and between two
	// checks for what is missing.
	Every Duration `toml:"every"`
	// LoadTimeout is the time after which a load is cancelled.
	LoadTimeout Duration `toml:"load_timeout"`
}

// Duration is a duration in the notation of time.ParseDuration, such as "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Log: Log{Format: "json", Level: "info"},
		Limits: Limits{
			BodyBytes:   1 << 20,
			HeaderBytes: 16 << 10,
			Connections: 4096,
			PerKey:      2048,
			Running:     512,
			Queue:       duration(10 * time.Second),
			Request:     duration(2 * time.Minute),
			Tokens:      4096,
			MemoryMB:    256,
		},
		Stop: Stop{
			AddressTTL: duration(5 * time.Second),
			Deadline:   duration(10 * time.Minute),
		},
		Ledger: Ledger{
			Partitions: 1,
			Linger:     duration(4 * time.Millisecond),
			Wait:       duration(5 * time.Second),
			Horizon:    duration(10 * time.Minute),
		},
		Flow: Flow{
			Policy:       "least_cost",
			StepTimeout:  duration(time.Second),
			FillTimeout:  duration(15 * time.Second),
			CallTimeout:  duration(10 * time.Second),
			ProofTimeout: duration(time.Second),
			Replacements: 8,
		},
		Configuration: Configuration{SnapshotEvery: duration(time.Hour)},
		Placement: Placement{
			Loads:       2,
			Lease:       duration(30 * time.Second),
			Every:       duration(2 * time.Second),
			LoadTimeout: duration(10 * time.Minute),
		},
		Relay: Relay{
			DiscoveryTTL: duration(time.Second),
			Revoke:       duration(5 * time.Second),
			RetryRatio:   0.2,
			RetrySlack:   100,
			RetryWindow:  duration(10 * time.Second),
			Room:         Room{Enabled: true, Full: 0.97, Floor: 0.03, React: duration(700 * time.Millisecond)},
			Prompts:      Prompts{Long: 2},
		},
	}
}

// duration wraps a time.Duration.
func duration(d time.Duration) Duration {
	return Duration{Duration: d}
}
