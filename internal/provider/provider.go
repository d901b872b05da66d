// Package provider implements the client of the platform: of its append-only log and
// its list of VMs. No other package knows the platform's protocol.
package provider

import (
	"context"
	"time"
)

// Offset is a record's position in its stream. Consecutive records have consecutive
// offsets.
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	// Offset is assigned by the log and never reused.
	Offset Offset `json:"offset"`
	// At is the timestamp of the append by the log's clock, in Unix milliseconds. It
	// never decreases from one record to the next.
	At int64 `json:"at"`
	// Data is the payload, exactly as it was appended.
	Data []byte `json:"data"`
}

// Page is the result of a read.
type Page struct {
	// First is the oldest offset still retained. A reader that requested an older one
	// has missed records.
	First Offset `json:"first"`
	// FirstAt is the log's timestamp of the newest record that is no longer retained,
	// in Unix milliseconds; 0 if no record was ever dropped.
	FirstAt int64 `json:"first_at"`
	// Next is the offset of the next append.
	Next Offset `json:"next"`
	// Records are contiguous and in offset order; they begin at the requested offset,
	// or at First if that is higher.
	Records []Record `json:"records"`
}

// Position is the result of an append.
type Position struct {
	Offset Offset `json:"offset"`
	At     int64  `json:"at"`
}

// Log appends records to streams and reads them.
type Log struct {
	// Append adds one record. After an error, the record may be in the stream, or may
	// still appear in it later.
	Append func(ctx context.Context, stream string, data []byte) (Position, error)
	// Read returns the records from an offset on. If there are none, it waits up to
	// wait for the first one, and then returns an empty page.
	Read func(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// Roles of a VM in the platform's list.
const (
	RoleNode     = "node"
	RoleEndpoint = "endpoint"
	RoleService  = "service"
)

// VM is an entry of the platform's list, which may be out of date.
type VM struct {
	// Address is host:port of the process on the VM.
	Address string `json:"address"`
	// Role is one of the Role constants.
	Role string `json:"role"`
	// Centre is the VM's data centre.
	Centre string `json:"centre"`
	// Leaving is set once the VM has been told to stop.
	Leaving bool `json:"leaving"`
}

// List reads the platform's list of VMs.
type List struct {
	VMs func(ctx context.Context) ([]VM, error)
}
