package driver

import (
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// Limits of the bodies of endpoints in bytes, before they are decoded.
const (
	// maxAnswerBytes bounds an answer of a plain service.
	maxAnswerBytes = 16 << 20
	// maxStepBytes bounds the result of a step, which may have an output for each position of
	// a request.
	maxStepBytes = 8 << 20
	// maxCacheBytes bounds an exported cache. Encoded and decoded it takes most of what one
	// reader may have of the budget.
	maxCacheBytes = 6 << 20
	// maxPrefixesBytes bounds a page of cache events, which take up to 70 bytes each.
	maxPrefixesBytes = 2 << 20
	// maxStatusBytes bounds a status.
	maxStatusBytes = 64 << 10
	// maxReceiptBytes bounds the answers to orders and other requests without a result.
	maxReceiptBytes = 64 << 10
)

// Limits of decoded answers in bytes.
const (
	maxDecodedStep     = 10 << 20
	maxDecodedCache    = 7 << 20
	maxDecodedPrefixes = 4 << 20
	// maxDecodedStatus is lower than what the body may decode to, as a node keeps the newest
	// status of each endpoint.
	maxDecodedStatus = 1 << 20
)

// Approximate memory in bytes of one decoded value: about twice that of the entry of a list,
// as lists double while they grow. A value of JSON takes as little as two bytes.
const (
	holdingMemory = 192
	eventMemory   = 64
	outputMemory  = 48
)

// importFactor is the memory of an import over the bytes of its cache: the cache, and its encoded
// form with the buffer in which that is built.
const importFactor = 4

// kind is a kind of answer and what it is read from.
type kind struct {
	pool *bounder.Pool
	// limit bounds the body in bytes.
	limit int64
	// perValue is the memory in bytes of each value of the decoded form besides its text.
	perValue int64
	// decoded bounds the decoded form in bytes.
	decoded int64
}

// kinds are the kinds of answers of an engine.
type kinds struct {
	status, step, cache, prefixes, receipt kind
}

func newKinds(b bounder.Budget) kinds {
	return kinds{
		status:   kind{pool: b.Reports, limit: maxStatusBytes, perValue: holdingMemory, decoded: maxDecodedStatus},
		step:     kind{pool: b.Calls, limit: maxStepBytes, perValue: outputMemory, decoded: maxDecodedStep},
		cache:    kind{pool: b.Calls, limit: maxCacheBytes, decoded: maxDecodedCache},
		prefixes: kind{pool: b.Calls, limit: maxPrefixesBytes, perValue: eventMemory, decoded: maxDecodedPrefixes},
		receipt:  kind{pool: b.Reports, limit: maxReceiptBytes, decoded: 4 * maxReceiptBytes},
	}
}

// read reads a body. Its memory is in use until the reservation is released.
func (k kind) read(body io.Reader) ([]byte, *bounder.Reservation, error) {
	return k.pool.ReadAll(body, k.limit)
}

// decode decodes a body after it has reserved memory for the decoded form.
func decode[O any](k kind, body []byte, held *bounder.Reservation) (O, error) {
	var out O
	size := k.decodedSize(body)
	if size > k.decoded {
		return out, trace.LimitExceeded("the decoded answer takes %d bytes, more than %d", size, k.decoded)
	}
	if err := held.Resize(int64(cap(body)) + size); err != nil {
		return out, trace.Wrap(err)
	}
	err := json.Unmarshal(body, &out)
	return out, trace.Wrap(err)
}

// decodedSize returns the most memory that the decoded form of a body takes in bytes.
func (k kind) decodedSize(body []byte) int64 { return bounder.DecodedSize(body, k.perValue) }
