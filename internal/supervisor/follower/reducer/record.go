// Package reducer folds the configuration stream into the organisations that are in
// force. It has no side effects: it reads no clock, opens no socket and starts no
// goroutine.
package reducer

import (
	"github.com/gravitational/trace"

	"banyanquay/internal/describer"
	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
)

// Change is an operator's request to replace or remove an organisation.
type Change struct {
	// ID is unique among changes; a second record with it is ignored.
	ID string `cbor:"1,keyasint"`
	// Organisation is the name of the organisation to change.
	Organisation string `cbor:"2,keyasint"`
	// Base is the revision that the change was made from. The change is
	// accepted only if it is the current one.
	Base describer.Revision `cbor:"3,keyasint"`
	// Seen is the offset of the first record that the publishing node had not folded
	// when the change was made. A change whose own offset is more than Window larger
	// is expired.
	Seen provider.Offset `cbor:"4,keyasint"`
	// Remove deletes the organisation; Template is empty then.
	Remove bool `cbor:"5,keyasint,omitempty"`
	// Template is the document as published. Its parameters are not expanded yet.
	Template Document `cbor:"6,keyasint"`
	// Operator and Note say who made the change and why.
	Operator string `cbor:"7,keyasint,omitempty"`
	Note     string `cbor:"8,keyasint,omitempty"`
}

// Record is one message of the stream. Exactly one field is set.
type Record struct {
	Change   *Change   `cbor:"1,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"2,keyasint,omitempty"`
	Restore  *Restore  `cbor:"3,keyasint,omitempty"`
}

// count returns how many fields are set.
func (r Record) count() int {
	n := 0
	for _, set := range []bool{r.Change != nil, r.Snapshot != nil, r.Restore != nil} {
		if set {
			n++
		}
	}
	return n
}

// Encode returns the record's bytes.
func (r Record) Encode() ([]byte, error) {
	return encoder.CBOR(r)
}

// decode decodes a record and checks what the fold relies on. The checks are part of
// the stream's format: two releases with different checks would disagree on the
// configuration in force.
func decode(raw provider.Record) (Record, error) {
	r, err := encoder.FromCBOR[Record](raw.Data)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	switch {
	case r.count() != 1:
		return Record{}, trace.BadParameter("a record must hold exactly one of change, snapshot and restore")
	case r.Restore != nil:
		return r, r.Restore.check(raw.Offset)
	case r.Change != nil:
		return r, r.Change.check(raw.Offset)
	default:
		return r, r.Snapshot.check(raw.Offset)
	}
}

// check returns an error if the change is invalid at any revision.
func (c *Change) check(at provider.Offset) error {
	switch {
	case c.ID == "" || c.Organisation == "":
		return trace.BadParameter("a change needs an identifier and an organisation")
	case !c.Remove && c.Template.Name != c.Organisation:
		return trace.BadParameter("the template has the name %q, but the change is for organisation %q", c.Template.Name, c.Organisation)
	case c.Seen > at:
		return trace.BadParameter("the change was made at offset %d, which is after its own", c.Seen)
	}
	return nil
}
