package claimer

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/google/uuid"

	"banyanquay/internal/supervisor/claimer/reducer"
)

// Attempt is one arrival of a non-idempotent request at this node.
type Attempt struct {
	Organisation string
	// Key is the caller's key; Prepare generates one if it is empty.
	Key string
	// Issued is when the caller generated the key; zero if not stated. It is the
	// same in every attempt.
	Issued time.Time
	// Number is the attempt's number as the caller counts the key's attempts
	// from 1; 0 if the caller does not count them. No two attempts of a key may
	// have the same number, except 0.
	Number uint64
	// First is set if no other attempt of the key exists or will exist before
	// this one has been answered, as with a generated key.
	First bool
	// Fingerprint identifies the request's content; it is the same in all attempts
	// of a key.
	Fingerprint uint64
	// Checks is one of describer's Checks constants.
	Checks string
}

// Prepare completes an attempt when the request arrives: it generates a key if
// the caller gave none, and reads the issue time from a version 7 UUID.
func (c *Claimer) Prepare(a Attempt) Attempt {
	if a.Key == "" {
		a.Key = c.newKey()
		a.First = true
		a.Number = 1
	}
	if a.Issued.IsZero() {
		a.Issued = uuidTime(a.Key)
	}
	return a
}

// newKey returns a version 7 UUID with the log's time. It uses the node's clock
// only if the log's time is unknown.
func (c *Claimer) newKey() string {
	id := uuid.Must(uuid.NewV7())
	ms := c.partitions[0].logTime()
	if ms == 0 {
		ms = c.cfg.Now().UnixMilli()
	}
	var timestamp [8]byte
	binary.BigEndian.PutUint64(timestamp[:], uint64(ms)<<16)
	copy(id[:6], timestamp[:6])
	return id.String()
}

// uuidTime returns the time in a version 7 UUID, or the zero time for any other
// key.
func uuidTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

// key returns the attempt's key as the reducer represents it.
func (a Attempt) key() reducer.Key {
	return reducer.Key{Organisation: a.Organisation, Name: a.Key}
}

// reducerAttempt returns the attempt as the reducer represents it.
func (a Attempt) reducerAttempt() reducer.Attempt {
	var issued int64
	if !a.Issued.IsZero() {
		issued = a.Issued.UnixMilli()
	}
	return reducer.Attempt{
		Key:         a.key(),
		Issued:      issued,
		Number:      a.Number,
		First:       a.First,
		Fingerprint: a.Fingerprint,
		Checks:      a.Checks,
	}
}

// Answer is a request's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// recordedAnswer returns a recorded answer, or nil if its body was not recorded.
func recordedAnswer(a *reducer.Answer) *Answer {
	if a == nil || a.Digest != nil {
		return nil
	}
	return &Answer{Status: a.Status, Header: a.Header.Clone(), Body: a.Body}
}
