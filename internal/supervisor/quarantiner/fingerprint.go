package quarantiner

import (
	"encoding/binary"
	"time"

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

// answers holds when requests were last answered, by fingerprint. Nearly every request has
// another one: what is older than the last maxAnswered is dropped, in two generations.
type answers struct {
	recent map[Part]time.Time
	older  map[Part]time.Time
}

// note notes that a request was answered.
func (a *answers) note(fingerprint Part, at time.Time) {
	if a.recent == nil || len(a.recent) >= maxAnswered {
		a.recent, a.older = make(map[Part]time.Time), a.recent
	}
	if at.After(a.recent[fingerprint]) {
		a.recent[fingerprint] = at
	}
}

// at returns when a request was last answered, and whether that is known.
func (a *answers) at(fingerprint Part) (time.Time, bool) {
	if at, ok := a.recent[fingerprint]; ok {
		return at, true
	}
	at, ok := a.older[fingerprint]
	return at, ok
}

// String returns the fingerprint as it is named in records and logs.
func (f Fingerprint) String() string { return Part(f).key() }
