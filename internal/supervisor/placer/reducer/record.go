// Package reducer folds the placement stream into its state: who may send orders to
// endpoints, under which fencing number, and which loads are in progress. It has no
// clock and no state besides the records.
package reducer

import (
	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
)

// Holder is a process that may hold the lease.
type Holder struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Load is a change of what one endpoint holds that may be in progress. It is an
// immutable value.
type Load struct {
	// Endpoint is the address of the endpoint, which has no second load.
	Endpoint string `cbor:"1,keyasint"`
	// Hold is all that the endpoint holds once the load has ended: what it held
	// before, and what the load adds.
	Hold []driver.Holding `cbor:"2,keyasint,omitempty"`
	// Cancelled loads are ended by an order with a fencing number above those of all
	// their orders. A cancelled load stays cancelled.
	Cancelled bool `cbor:"3,keyasint,omitempty"`
	// Begun is the offset of the accepted record that began the load. Together with
	// the endpoint it identifies the load.
	Begun provider.Offset `cbor:"4,keyasint"`
}

// WithCancelled returns a cancelled copy.
func (l Load) WithCancelled() Load {
	l.Cancelled = true
	return l
}

// Record is one entry of the stream. It has the complete state that its writer
// leaves behind, so that the newest accepted record is the state.
type Record struct {
	// Expected is the offset that the writer expects its record to get, having read
	// all records before it.
	Expected provider.Offset `cbor:"1,keyasint"`
	Holder   Holder          `cbor:"2,keyasint"`
	// Lease is the offset of the record by which the holder took the lease; it
	// equals Expected in that record itself.
	Lease provider.Offset `cbor:"3,keyasint"`
	// Loads are all loads that may be in progress, at most one for each endpoint.
	Loads []Load `cbor:"4,keyasint,omitempty"`
}
