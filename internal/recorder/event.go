// Package recorder writes the daemon's log of numbered events.
package recorder

import (
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

//go:generate stringer -type=Event -linecomment -output=event_string.go

// Event is a numbered log event; docs/EVENTS.md lists all of them.
type Event int

// Events of the node's life cycle.
const (
	NodeStarted          Event = iota + 100 // node started
	NodeReady                               // node ready to serve
	NodeLeaving                             // node leaving
	NodeStopped                             // node stopped
	StopDeadlineExceeded                    // stop deadline cut work short
	StepFailed                              // supervised step failed
	LinesDropped                            // log lines dropped
	SettingsReloaded                        // settings read again
	SettingsRejected                        // changed settings refused
	LatencySummary                          // latencies since the start
	PanicCaught                             // unexpected error caught
)

// Events of requests.
const (
	RequestRefused    Event = iota + 200 // request refused
	RequestEnded                         // request ended
	StageReplaced                        // pipeline stage replaced
	StageFailed                          // pipeline stage failed
	OutcomeLost                          // outcome of a non-idempotent request lost
	CacheNotImported                     // cache of a lost stage not imported
	AttemptFailed                        // try at an endpoint failed
	PathChanged                          // path of a stream changed
	StreamStalled                        // stream stalled
	RefusalNotEncoded                    // answer could not be encoded
	LevelChanged                         // admission level changed
)

// Events of the ledger.
const (
	LedgerUnreachable Event = iota + 300 // ledger stream unreachable
	LedgerReachable                      // ledger stream reachable again
	LedgerGap                            // ledger records lost to retention
	LedgerBadRecord                      // ledger record ignored
)

// Events of the configuration.
const (
	ConfigApplied     Event = iota + 400 // configuration change applied
	ConfigRejected                       // configuration change rejected
	ConfigUnreachable                    // configuration stream unreachable
	ConfigReachable                      // configuration stream reachable again
	ConfigBadRecord                      // configuration record ignored
	ConfigSnapshot                       // configuration snapshot appended
	ConfigGap                            // configuration records lost to retention
	ConfigRestored                       // configuration restored by an operator
)

// Events of the fleet.
const (
	PeerUp             Event = iota + 500 // node joined
	PeerSuspect                           // node suspected
	PeerDown                              // node gone
	PeerLeaving                           // node leaving the fleet
	EndpointUp                            // endpoint up
	EndpointDown                          // endpoint gone
	EndpointLeaving                       // endpoint leaving
	ListUnreachable                       // list of VMs unreachable
	LinkUp                                // link up
	LinkDown                              // link down
	CentreUnreachable                     // data centre unreachable
	CentreReachable                       // data centre reachable again
	NodeResumed                           // node woke from a pause
	ListReachable                         // list of VMs reachable again
	ListBadRecord                         // record of a list ignored
	StoreUnreachable                      // platform's store unreachable
	StoreReachable                        // platform's store reachable again
	HoldingsChanged                       // endpoint holds other layers
	EndpointSuspect                       // endpoint doubted
	StateFromPeer                         // learnt from another node what the store did not tell
	EndpointSlow                          // endpoint slow
	PartHeld                              // part of prompts quarantined
	PartReleased                          // part of prompts released
	LimitNamed                            // endpoint names a limit
	LimitEnded                            // endpoint names no limit any more
	EndpointBackoff                       // endpoint wants no requests for a while
	StoreRestored                         // platform's store came back from an older copy
	EndpointsUnreached                    // endpoints reached by way of other nodes
	EndpointsReached                      // endpoints reached directly again
	EndpointRetained                      // endpoint kept that the store dropped
	StoreRelayed                          // platform's store read by way of another node
)

// Events of the placement.
const (
	LeaseTaken           Event = iota + 600 // lease for orders taken
	LeaseLost                               // lease for orders lost
	LoadBegun                               // load ordered
	LoadEnded                               // load ended
	LoadCancelled                           // load cancelled
	HoldingsUnexpected                      // holdings changed without an order
	PlacementUnreachable                    // placement stream unreachable
	PlacementReachable                      // placement stream reachable again
)

// fields prepends the event's number to the given fields.
func (e Event) fields(fields []zap.Field) []zap.Field {
	return append([]zap.Field{zap.Int("event", int(e))}, fields...)
}

// Recorder writes events to a log.
type Recorder struct {
	log *zap.Logger
}

// New returns a recorder that writes to log.
func New(log *zap.Logger) *Recorder {
	return &Recorder{log: log}
}

// Nop returns a recorder that writes nothing.
func Nop() *Recorder {
	return New(zap.NewNop())
}

// Info records an event of normal operation.
func (r *Recorder) Info(event Event, fields ...zap.Field) {
	r.log.Info(event.String(), event.fields(fields)...)
}

// Warn records an event that may concern the person on call.
func (r *Recorder) Warn(event Event, fields ...zap.Field) {
	r.log.Warn(event.String(), event.fields(fields)...)
}

// Error records an event that requires intervention.
func (r *Recorder) Error(event Event, fields ...zap.Field) {
	r.log.Error(event.String(), event.fields(fields)...)
}

// Logger returns a logger that writes to standard error. The format is json or
// console; the level is debug, info, warn or error.
func Logger(format, level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Encoding = format
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, trace.BadParameter("log level %q: %v", level, err)
	}
	cfg.Level = parsed
	log, err := cfg.Build()
	return log, trace.Wrap(err, "building the logger")
}
