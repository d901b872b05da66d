package loader

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
)

// hashBytes is the length of a SHA-256 hash.
const hashBytes = 32

// minSecretBytes is the min length of the fleet secret, in bytes.
const minSecretBytes = 16

const (
	// minMemoryMB is the memory in MB with which a node can still read a template of 1 MB from the
	// platform.
	minMemoryMB = 128
	// bodyMemoryFactor is the memory of a node over the longest body. One reader may have 7.5% of
	// the memory, with what the body is decoded to.
	bodyMemoryFactor = 32
)

// Faults is an error that lists the faults of a document.
type Faults []string

// Error lists every fault on its own line.
func (f Faults) Error() string {
	return fmt.Sprintf("%d faults:\n  %s", len(f), strings.Join(f, "\n  "))
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	settings, faults := Parse(data)
	if len(faults) > 0 {
		return Settings{}, trace.Wrap(Faults(faults), "checking settings file %s", path)
	}
	return settings, nil
}

// Parse decodes settings, starting from the defaults, and returns all faults.
func Parse(data []byte) (Settings, []string) {
	settings, faults, err := encoder.FromStrictTOML(data, Defaults())
	if err != nil {
		return settings, []string{err.Error()}
	}
	return settings, append(faults, settings.check(encoder.Lines(data))...)
}

// check returns all faults of the values, with the line number of the values that
// are set in the file.
func (s Settings) check(lines map[string]int) []string {
	c := checker{lines: lines}
	c.address("address", s.Address)
	c.require(s.Centre != "", "centre", "must name the node's data centre")
	if s.Relay.Enabled {
		c.address("platform", s.Platform)
		s.Relay.check(&c)
	} else {
		c.httpURL("platform", s.Platform)
	}
	c.require(len(s.FleetSecret) >= minSecretBytes, "fleet_secret", "must have at least %d bytes", minSecretBytes)
	for i, o := range s.Operators {
		c.require(o.Name != "", fmt.Sprintf("operators[%d].name", i), "must not be empty")
		c.hash(fmt.Sprintf("operators[%d].key_hash", i), o.KeyHash)
	}
	c.oneOf("log.format", s.Log.Format, "json", "console")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("flow.policy", s.Flow.Policy, "least_cost", "least_load", "round_robin")
	s.checkNumbers(&c)
	s.checkDurations(&c)
	return c.faults
}

// check checks the settings of a node for endpoints that forward requests to each
// other.
func (r Relay) check(c *checker) {
	c.address("relay.frontend", r.Frontend)
	c.address("relay.readiness", r.Readiness)
	c.address("relay.discovery", r.Discovery)
	if r.Metrics != "" {
		c.address("relay.metrics", r.Metrics)
	}
	for i, seed := range r.Seeds {
		c.address(fmt.Sprintf("relay.seeds[%d]", i), seed)
	}
	c.require(r.MemoryMB >= 0, "relay.memory_mb", "must not be negative, is %d", r.MemoryMB)
	c.require(r.RetryRatio >= 0, "relay.retry_ratio", "must not be negative, is %g", r.RetryRatio)
	c.require(r.RetrySlack >= 0, "relay.retry_slack", "must not be negative, is %g", r.RetrySlack)
	c.positiveDuration("relay.discovery_ttl", r.DiscoveryTTL)
	c.positiveDuration("relay.revoke", r.Revoke)
	c.positiveDuration("relay.retry_window", r.RetryWindow)
	c.require(r.Room.SpareCopies == 0 || r.Room.SpareCopies >= 2, "relay.room.spare_copies", "must be 0 or at least 2, is %d", r.Room.SpareCopies)
	c.require(r.Prompts.Long == 0 || r.Prompts.Long >= 1, "relay.prompts.long", "must be 0 or at least 1, is %g", r.Prompts.Long)
	c.require(r.Room.Full > 0 && r.Room.Full <= 1, "relay.room.full", "must be greater than 0 and at most 1, is %g", r.Room.Full)
	c.require(r.Room.Floor >= 0 && r.Room.Floor < 1, "relay.room.floor", "must be at least 0 and less than 1, is %g", r.Room.Floor)
	c.positiveDuration("relay.room.react", r.Room.React)
}

// checkNumbers checks the counts and sizes.
func (s Settings) checkNumbers(c *checker) {
	c.positive("limits.body_bytes", s.Limits.BodyBytes)
	c.positive("limits.header_bytes", int64(s.Limits.HeaderBytes))
	c.positive("limits.connections", int64(s.Limits.Connections))
	c.positive("limits.per_key", int64(s.Limits.PerKey))
	c.positive("limits.running", int64(s.Limits.Running))
	c.positive("limits.tokens", int64(s.Limits.Tokens))
	c.require(s.Limits.MemoryMB >= minMemoryMB, "limits.memory_mb", "must be at least %d, is %d", minMemoryMB, s.Limits.MemoryMB)
	maxBody := int64(s.Limits.MemoryMB) << 20 / bodyMemoryFactor
	c.require(s.Relay.Enabled || s.Limits.BodyBytes <= maxBody, "limits.body_bytes",
		"must be at most %d, 1/%d of limits.memory_mb, is %d", maxBody, bodyMemoryFactor, s.Limits.BodyBytes)
	c.positive("ledger.partitions", int64(s.Ledger.Partitions))
	c.require(s.Ledger.Homes >= 0, "ledger.homes", "must not be negative, is %d", s.Ledger.Homes)
	c.positive("flow.replacements", int64(s.Flow.Replacements))
	c.positive("placement.loads", int64(s.Placement.Loads))
	c.require(s.Log.Rate >= 0, "log.rate", "must not be negative, is %d", s.Log.Rate)
}

// checkDurations checks the durations.
func (s Settings) checkDurations(c *checker) {
	c.positiveDuration("limits.queue", s.Limits.Queue)
	c.positiveDuration("limits.request", s.Limits.Request)
	c.positiveDuration("stop.address_ttl", s.Stop.AddressTTL)
	c.positiveDuration("stop.deadline", s.Stop.Deadline)
	c.positiveDuration("ledger.linger", s.Ledger.Linger)
	c.positiveDuration("ledger.wait", s.Ledger.Wait)
	c.positiveDuration("ledger.horizon", s.Ledger.Horizon)
	c.positiveDuration("flow.step_timeout", s.Flow.StepTimeout)
	c.positiveDuration("flow.fill_timeout", s.Flow.FillTimeout)
	c.positiveDuration("flow.call_timeout", s.Flow.CallTimeout)
	c.positiveDuration("flow.proof_timeout", s.Flow.ProofTimeout)
	c.positiveDuration("configuration.snapshot_every", s.Configuration.SnapshotEvery)
	c.positiveDuration("placement.lease", s.Placement.Lease)
	c.positiveDuration("placement.every", s.Placement.Every)
	c.positiveDuration("placement.load_timeout", s.Placement.LoadTimeout)
	c.require(s.Stop.Deadline.Duration > s.Stop.AddressTTL.Duration, "stop.deadline", "must be longer than stop.address_ttl")
}

// checker collects faults.
type checker struct {
	// lines maps the name of each field in the file to its line number.
	lines  map[string]int
	faults []string
}

// require adds a fault if ok is false.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	fault := field + ": " + fmt.Sprintf(format, args...)
	if line := c.lines[field]; line > 0 {
		fault = fmt.Sprintf("line %d: %s", line, fault)
	}
	c.faults = append(c.faults, fault)
}

func (c *checker) positive(field string, n int64) {
	c.require(n > 0, field, "must be greater than 0, is %d", n)
}

func (c *checker) positiveDuration(field string, d Duration) {
	c.require(d.Duration > 0, field, "must be greater than 0, is %s", d)
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.require(false, field, "must be one of %s, is %q", strings.Join(allowed, ", "), value)
}

// address checks that the value is an IP address with a port.
func (c *checker) address(field, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.require(false, field, "must be IP:port, is %q", value)
		return
	}
	_, err = netip.ParseAddr(host)
	c.require(err == nil && port != "", field, "must be IP:port, is %q", value)
}

func (c *checker) httpURL(field, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.require(ok, field, "must be an http or https URL, is %q", value)
}

func (c *checker) hash(field, value string) {
	sum, err := hex.DecodeString(value)
	c.require(err == nil && len(sum) == hashBytes, field, "must be a SHA-256 hash in hexadecimal")
}
