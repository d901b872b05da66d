package detourer

import (
	"errors"
	"slices"
	"strings"
	"syscall"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// operation selects the call that a node makes for another one; the numbers are the same
// at all nodes.
type operation uint8

const (
	sendOperation operation = iota + 1
	probeOperation
	reportOperation
	placeOperation
	changePathOperation
)

// request asks a node to make a call.
type request struct {
	Operation operation `cbor:"1,keyasint"`
	Address   string    `cbor:"2,keyasint"`
	// Endpoint is the ID of the endpoint that has to answer there.
	Endpoint  string             `cbor:"3,keyasint,omitempty"`
	Forward   *driver.Forward    `cbor:"4,keyasint,omitempty"`
	Placement *driver.Placement  `cbor:"5,keyasint,omitempty"`
	Stream    string             `cbor:"6,keyasint,omitempty"`
	Path      []driver.PathStage `cbor:"7,keyasint,omitempty"`
	// RawStrings is set by nodes that decode strings that aren't UTF-8. Those of earlier
	// builds take a message with such a string for one that says that nothing was sent, and
	// send the request again.
	RawStrings bool `cbor:"8,keyasint,omitempty"`
}

// message is a part of the result of a call. The result of sendOperation is a reply, then
// its body in any number of parts, and then End or a failure; that of any other one is a
// single message.
type message struct {
	Reply   *driver.Reply  `cbor:"1,keyasint,omitempty"`
	Data    []byte         `cbor:"2,keyasint,omitempty"`
	End     bool           `cbor:"3,keyasint,omitempty"`
	Report  *driver.Report `cbor:"4,keyasint,omitempty"`
	Failure *failure       `cbor:"5,keyasint,omitempty"`
}

// isResult reports whether the message is the whole result of a successful call other than
// sendOperation.
func (m message) isResult(o operation) bool {
	if o == reportOperation {
		return m.Report != nil
	}
	return m.End
}

// failure is the error of a call.
type failure struct {
	Text string `cbor:"1,keyasint"`
	// Unsent is set if the call failed before any byte of it was written to the endpoint.
	Unsent  bool            `cbor:"2,keyasint,omitempty"`
	Refused *driver.Refused `cbor:"3,keyasint,omitempty"`
	// ConnectionRefused is set if the endpoint's host refuses connections.
	ConnectionRefused bool `cbor:"4,keyasint,omitempty"`
	// Unable is set if the node can't make calls for others now, such as when it reaches no
	// endpoint itself or is stopping.
	Unable bool `cbor:"5,keyasint,omitempty"`
}

// replacement replaces bytes that aren't UTF-8 in the texts of failures, which may quote an
// endpoint.
const replacement = "\uFFFD"

// newFailure returns the failure for an error. Nodes of earlier builds can decode it.
func newFailure(err error) *failure {
	f := &failure{Text: strings.ToValidUTF8(err.Error(), replacement), Unsent: isUnsent(err), ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED)}
	var refused *driver.Refused
	if errors.As(err, &refused) {
		f.Refused = &driver.Refused{Reason: refused.Reason, Detail: strings.ToValidUTF8(refused.Detail, replacement)}
	}
	return f
}

// unable is the failure of a call that the node doesn't make.
func unable(reason string) *failure { return &failure{Text: reason, Unsent: true, Unable: true} }

// err returns the failure as an error of the kind that the call itself would have had.
func (f *failure) err() error {
	if f.Refused != nil {
		return f.Refused
	}
	err := trace.ConnectionProblem(nil, "%s", f.Text)
	if f.ConnectionRefused {
		err = trace.ConnectionProblem(syscall.ECONNREFUSED, "%s", f.Text)
	}
	if f.Unsent {
		return &driver.Unsent{Err: err}
	}
	return err
}

// isUTF8 reports whether all strings of a reply's head are valid UTF-8.
func isUTF8(r driver.Reply) bool {
	for name, values := range r.Header {
		if !utf8.ValidString(name) || slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
			return false
		}
	}
	return utf8.ValidString(r.Fault) && utf8.ValidString(r.Version)
}

// isUnsent reports whether a call failed before any byte of it was written.
func isUnsent(err error) bool {
	var unsent *driver.Unsent
	return errors.As(err, &unsent)
}
