package quarantiner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests with equal content: a caller's repeats of one request
// have the same one at every node.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. The caller is the name of its
// organisation, or its key if that belongs to none.
func NewFingerprint(caller, method, host, target string, body []byte) Fingerprint {
	d := xxhash.New()
	// Each field follows its length, so that different fields never join to equal input.
	for _, field := range []string{caller, method, host, target} {
		writeLength(d, len(field))
		_, _ = d.WriteString(field)
	}
	writeLength(d, len(body))
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

func writeLength(d *xxhash.Digest, n int) {
	var buf [binary.MaxVarintLen64]byte
	_, _ = d.Write(buf[:binary.PutUvarint(buf[:], uint64(n))])
}

// Request is what a request may have in common with others that crash their endpoint.
type Request struct {
	// Parts are the parts of its prompt that other requests may have, too, in their order.
	// Requests to plain services have none.
	Parts       []Part
	Fingerprint Fingerprint
}

// String returns the fingerprint as it is named in records and logs.
func (f Fingerprint) String() string { return Part(f).key() }
