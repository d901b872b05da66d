// Package loader reads and checks the daemon's settings.
package loader

import (
	"time"
)

// Settings is the daemon's settings file.
type Settings struct {
	// Address is the host:port that the node listens on and is known by.
	Address string `toml:"address"`
	// Centre is the node's data centre.
	Centre string `toml:"centre"`
	// Region is the region of the data centre; empty means one region.
	Region string `toml:"region"`
	// Platform is the base URL of the platform.
	Platform string `toml:"platform"`
	// FleetSecret is shared by all nodes and authenticates links.
	FleetSecret string `toml:"fleet_secret"`
	// Operators may use the administration API.
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

// Relay sets the node up before endpoints that pass requests among themselves
// and register in the platform's store.
type Relay struct {
	// Enabled runs the node in this way; the platform is then HOST:PORT of
	// the store.
	Enabled bool `toml:"enabled"`
	// Name appears in logs.
	Name string `toml:"name"`
	// Frontend, Readiness, Discovery and Metrics are the addresses to listen
	// on beside Address, which is for other nodes.
	Frontend  string `toml:"frontend"`
	Readiness string `toml:"readiness"`
	Discovery string `toml:"discovery"`
	Metrics   string `toml:"metrics"`
	// Seeds are addresses of other nodes; they may be out of date.
	Seeds []string `toml:"seeds"`
	// MemoryMB is the memory at which the process is killed; 0 if there is no
	// such limit.
	MemoryMB int `toml:"memory_mb"`
	// DiscoveryTTL is how long callers keep an address answer.
	DiscoveryTTL Duration `toml:"discovery_ttl"`
	// Revoke is the time after which a key that was taken away must not work.
	Revoke Duration `toml:"revoke"`
	// RetryRatio, RetrySlack and RetryWindow bound what is sent to a service
	// beyond the first time: in a window, the slack and a share of its requests.
	RetryRatio  float64  `toml:"retry_ratio"`
	RetrySlack  float64  `toml:"retry_slack"`
	RetryWindow Duration `toml:"retry_window"`
}

// Operator is someone who may use the administration API.
type Operator struct {
	// Name appears in the history of what the operator changes.
	Name string `toml:"name"`
	// KeyHash is the SHA-256 hash of the operator's key in hexadecimal.
	KeyHash string `toml:"key_hash"`
}

// Log says how the daemon logs.
type Log struct {
	// Format is json or console.
	Format string `toml:"format"`
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Rate is the most lines a second on standard output; those beyond it are
	// dropped and counted. 0 writes every line to standard error.
	Rate int `toml:"rate"`
}

// Limits bounds what callers may ask of one node.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes is the largest request header.
	HeaderBytes int `toml:"header_bytes"`
	// Connections is the most open connections whose callers are served; as
	// many again are kept for operators and other nodes.
	Connections int `toml:"connections"`
	// PerKey is the most requests of one API key in progress or waiting.
	PerKey int `toml:"per_key"`
	// Running is the most requests in progress.
	Running int `toml:"running"`
	// Queue is the longest time that a request waits for its turn.
	Queue Duration `toml:"queue"`
	// Request is the default time that a request may take as a whole.
	Request Duration `toml:"request"`
	// Tokens is the most tokens of one answer.
	Tokens int `toml:"tokens"`
}

// Stop says how a planned stop proceeds.
type Stop struct {
	// AddressTTL is how long callers keep an address answer.
	AddressTTL Duration `toml:"address_ttl"`
	// Deadline is the longest time from the signal to the exit.
	Deadline Duration `toml:"deadline"`
}

// Ledger sets the records of non-idempotent requests.
type Ledger struct {
	// Partitions is the number of streams; every node must have the same. More
	// streams share the log's appends and batch less.
	Partitions int `toml:"partitions"`
	// Linger is how long a batch waits for more entries.
	Linger Duration `toml:"linger"`
	// Wait is how long a retry waits for the first attempt's end.
	Wait Duration `toml:"wait"`
	// Homes is how many nodes follow each stream for all; 0 means that every
	// node does. Every node must have the same.
	Homes int `toml:"homes"`
	// Horizon is how long a key without an issue time stands.
	Horizon Duration `toml:"horizon"`
}

// Flow sets how requests are routed and retried.
type Flow struct {
	// Policy is least_cost, least_load or round_robin.
	Policy string `toml:"policy"`
	// StepTimeout bounds one decode step of a stage.
	StepTimeout Duration `toml:"step_timeout"`
	// FillTimeout bounds a step that runs a prompt or rebuilds a cache; an
	// endpoint whose speed is known is given less.
	FillTimeout Duration `toml:"fill_timeout"`
	// CallTimeout bounds a call to a plain service.
	CallTimeout Duration `toml:"call_timeout"`
	// ProofTimeout bounds the proof that a connection is alive.
	ProofTimeout Duration `toml:"proof_timeout"`
	// Replacements is the most stages replaced in one request.
	Replacements int `toml:"replacements"`
}

// Configuration sets how the configuration is kept in the log.
type Configuration struct {
	// SnapshotEvery is the longest time between snapshots; at most a third of
	// the log's retention.
	SnapshotEvery Duration `toml:"snapshot_every"`
}

// Placement sets the orders to endpoints.
type Placement struct {
	// Enabled lets this node take the lease by which one node orders endpoints
	// to load layers and adapters.
	Enabled bool `toml:"enabled"`
	// Loads is the most loads in progress in the fleet.
	Loads int `toml:"loads"`
	// Lease is how long the lease stands without renewal.
	Lease Duration `toml:"lease"`
	// Every is the mean time between two loads that begin, and between two
	// looks at what is missing.
	Every Duration `toml:"every"`
	// LoadTimeout is how long a load may take before it is cancelled.
	LoadTimeout Duration `toml:"load_timeout"`
}

// Duration is a time span written like "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalText parses the span.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}

// Defaults returns the settings that hold where the file is silent.
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
		},
	}
}

// duration wraps a time duration.
func duration(d time.Duration) Duration {
	return Duration{Duration: d}
}
