// Package reducer folds the ledger's records into a state for each key and decides
// on attempts by that state. It uses no clock, socket or goroutine.
package reducer

import (
	"math"
	"net/http"
	"time"

	"banyanquay/internal/provider"
)

//go:generate stringer -type=Kind,Phase,Verdict,Move -linecomment -output=enum_string.go

// Kind is the type of an entry.
type Kind int

// Kinds of entries.
const (
	// Claim requests the right to dispatch.
	Claim Kind = iota + 1 // claim
	// Release gives up a claim whose holder provably dispatched nothing.
	Release // release
	// Done records the answer of a dispatched request.
	Done // done
	// Unknown records that a dispatched request's outcome is not known.
	Unknown // unknown
	// Void bars attempts of a key that has no live claim.
	Void // void
)

// MaxSkew is how far a key's issue time may be ahead of the log's time.
const MaxSkew = 30 * time.Second

// AllAttempts is the attempt number that bars every attempt of a key.
const AllAttempts = math.MaxUint64

// Key identifies a request across its attempts.
type Key struct {
	Organisation string `cbor:"1,keyasint"`
	Name         string `cbor:"2,keyasint"`
}

// Entry is one event of one key.
type Entry struct {
	Kind Kind `cbor:"1,keyasint"`
	Key  Key  `cbor:"2,keyasint"`
	// Issued is the key's issue time in Unix milliseconds, 0 if it has none.
	// It is the same in all entries of a key.
	Issued int64 `cbor:"3,keyasint,omitempty"`
	// Nonce identifies a claim and the entries that end it, or a void. It is
	// never reused.
	Nonce string `cbor:"4,keyasint"`
	// Number is the attempt's number as the caller counts the key's attempts
	// from 1; 0 if the caller does not count them.
	Number uint64 `cbor:"5,keyasint,omitempty"`
	// Fingerprint identifies the request's content; set on claims.
	Fingerprint uint64 `cbor:"6,keyasint,omitempty"`
	// Node and Incarnation identify the claiming process.
	Node        string `cbor:"7,keyasint,omitempty"`
	Incarnation string `cbor:"8,keyasint,omitempty"`
	// Checks is what the service does to refuse a second execution; set on
	// claims. It is one of describer's Checks constants.
	Checks string `cbor:"9,keyasint,omitempty"`
	// Over is the nonce of the unfinished claim that a claim takes over.
	Over string `cbor:"10,keyasint,omitempty"`
	// Answer is set on done entries.
	Answer *Answer `cbor:"11,keyasint,omitempty"`
}

// Answer is a request's recorded answer.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	// Digest is the SHA-256 of a body that is not kept; Body is empty then.
	Digest []byte `cbor:"4,keyasint,omitempty"`
}

// Batch is the data of one record. Its entries are applied in order.
type Batch struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Position is the position of an entry in the log.
type Position struct {
	Offset provider.Offset
	// At is the log's time of the record in Unix milliseconds.
	At int64
}
