package listener

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/describer"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher"
)

// HTTP headers of the callers' API.
const (
	headerRequest        = "X-Request-Id"
	headerKey            = "Idempotency-Key"
	headerIssued         = "Idempotency-Issued"
	headerAttempt        = "Idempotency-Attempt"
	headerRecorded       = "Idempotency-Recorded"
	headerTimeoutSeconds = "X-Timeout-Seconds"
)

// maxKeyBytes is the maximum length of an idempotency key. The refusal of a
// longer key states that nothing ran, which holds only if every node refuses
// that key. All releases so far have this limit, so a release may raise it only
// after one that no longer makes this statement.
const maxKeyBytes = 255

// request is a caller's request with its organisation.
type request struct {
	*http.Request
	// id is unique across the fleet.
	id  string
	org describer.Organisation
	// keyHash is the hash of the API key.
	keyHash string
}

// callerFunc answers a caller. If it returns an error, it has written nothing;
// an error other than a refuser.Refusal is sent as an internal error.
type callerFunc func(w http.ResponseWriter, r request) error

// callerHandler returns a handler that authenticates a request by its API key,
// runs fn within the limits and sends errors as refusals.
func (l *Listener) callerHandler(fn callerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(headerRequest, id)
		r.Body = http.MaxBytesReader(w, r.Body, l.cfg.Limits.BodyBytes)
		org, keyHash, err := l.authenticate(r)
		if err == nil {
			err = l.serveWithinLimits(w, request{Request: r, id: id, org: org, keyHash: keyHash}, fn)
		}
		if err == nil {
			l.cfg.Recorder.Info(recorder.RequestEnded, zap.String("request", id),
				zap.String("organisation", org.Template.Name), zap.String("path", loggedPath(r)))
		}
		if err != nil {
			l.refuse(w, r, includeEarlierAttempts(r, l.includeOtherNodes(org, asRefusal(err))))
		}
	})
}

// includeOtherNodes adds the addresses of other nodes to the refusals of a node that serves
// its organisations no longer.
func (l *Listener) includeOtherNodes(org describer.Organisation, refusal refuser.Refusal) refuser.Refusal {
	if !l.sendsElsewhere(refusal) || org.Template.Name == "" || len(refusal.Addresses) > 0 {
		return refusal
	}
	return refusal.WithAddresses(l.cfg.Addresses(org.Template.Name))
}

// includeEarlierAttempts makes a refusal that states that the request never ran
// hold for earlier attempts under the same key too, which other nodes may have
// run: unless it is proved, it then states that the request may have run. Refusals
// of requests without a key stay unchanged, and so do those of requests whose
// only key is too long, as every node refuses that key. An empty key does not
// rule out earlier attempts, as one of them may have lost the header on its way;
// nor do several keys, as each may have been sent alone.
func includeEarlierAttempts(r *http.Request, refusal refuser.Refusal) refuser.Refusal {
	if refusal.Proved || refusal.Ran != refuser.Never {
		return refusal
	}
	keys := r.Header.Values(headerKey)
	if len(keys) == 0 || (len(keys) == 1 && len(keys[0]) > maxKeyBytes) {
		return refusal
	}
	return refusal.WithEarlier(refuser.Maybe)
}

// authenticate returns the organisation that owns the request's API key, and
// the key's hash.
func (l *Listener) authenticate(r *http.Request) (describer.Organisation, string, error) {
	var none describer.Organisation
	if reason := l.cfg.Ready(); reason != "" {
		return none, "", refuser.New(refuser.NotCaughtUp, "%s", reason).WithWait(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return none, "", refuser.New(refuser.NoCredential, "the request has no bearer token")
	}
	hash := describer.HashKey(key)
	org, ok := l.cfg.ByKeyHash(hash)
	if !ok {
		return none, "", refuser.New(refuser.WrongCredential, "the API key belongs to no organisation")
	}
	return org, hash, nil
}

// asRefusal returns the refusal that err holds. Any other error becomes an
// internal error of a request that may have run.
func asRefusal(err error) refuser.Refusal {
	var refusal refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuser.New(refuser.InternalError, "%v", err).WithRan(refuser.Maybe)
}

// readBody reads the whole body within the limits of size and time, and until the gate
// expires. It then removes the read deadline, so that the caller may wait for its answer
// however long that takes. The body's memory is in use until the reservation is released, which is
// never nil.
func (l *Listener) readBody(w http.ResponseWriter, r request) ([]byte, *bounder.Reservation, error) {
	ctx, cancel := l.cfg.Gate.Context(r.Context())
	defer cancel()
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(aborted)
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
	data, held, err := l.cfg.Budget.Requests.ReadAll(r.Body, l.cfg.Limits.BodyBytes)
	if !stop() {
		<-aborted
	}
	if err != nil && expired(ctx) {
		return nil, held, refuser.New(refuser.Leaving, "reading the body: %v", ErrExpired).WithWait(retryElsewhereDelay)
	}
	if errors.Is(err, bounder.ErrExhausted) {
		return nil, held, l.noMemory(w, r, err)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, held, refuser.New(refuser.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, held, refuser.New(refuser.DeadlinePassed, "the body took longer than %s", bodyTimeout)
	}
	if err != nil {
		return nil, held, refuser.New(refuser.CallerLeft, "reading the body: %v", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, held, nil
}

// idempotencyKey reads the headers that identify a non-idempotent request
// across its attempts.
func idempotencyKey(r request, data []byte) (dispatcher.Key, error) {
	key := dispatcher.Key{Fingerprint: requestFingerprint(r, data)}
	values := r.Header.Values(headerKey)
	if len(values) == 0 {
		return generateKey(r, key)
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return key, refuser.New(refuser.BadKey, "%s must be sent exactly once, with 1 to %d bytes", headerKey, maxKeyBytes)
	}
	key.Value = values[0]
	var err error
	if key.Number, err = attemptNumber(r); err != nil {
		return key, err
	}
	key.Issued, err = issuedAt(r)
	return key, err
}

// generateKey completes the key of a request that has none. The new key is
// unique, so this is its first attempt.
func generateKey(r request, key dispatcher.Key) (dispatcher.Key, error) {
	if r.Header.Get(headerAttempt) != "" || r.Header.Get(headerIssued) != "" {
		return key, refuser.New(refuser.BadKey, "%s and %s require %s", headerAttempt, headerIssued, headerKey)
	}
	generated, err := uuid.NewV7()
	key.Value = generated.String()
	key.Number = 1
	key.First = true
	return key, err
}

// attemptNumber reads the number of this attempt under its key; 0 if the header
// is missing.
func attemptNumber(r request) (uint64, error) {
	text := r.Header.Get(headerAttempt)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return 0, refuser.New(refuser.BadKey, "%s must be an integer from 1 to 4294967295", headerAttempt)
	}
	return n, nil
}

// issuedAt reads when a key was created; zero if the header is missing.
func issuedAt(r request) (time.Time, error) {
	text := r.Header.Get(headerIssued)
	if text == "" {
		return time.Time{}, nil
	}
	issued, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return issued, refuser.New(refuser.BadKey, "%s: %v", headerIssued, err)
	}
	return issued, nil
}

// requestFingerprint hashes method, URI and body, to tell different requests
// under one key apart.
func requestFingerprint(r request, data []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + "\x00" + r.URL.RequestURI() + "\x00")
	_, _ = h.Write(data)
	return h.Sum64()
}

// addressList is the answer to GET /v1/addresses.
type addressList struct {
	// Addresses are host:port, best first.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the answer may be cached.
	TTLSeconds int `json:"ttl_seconds"`
}

// addresses answers with the nodes that the organisation's callers may use.
func (l *Listener) addresses(w http.ResponseWriter, r request) error {
	return writeJSON(w, addressList{
		Addresses:  l.cfg.Addresses(r.org.Template.Name),
		TTLSeconds: int(l.cfg.Stop.AddressTTL.Seconds()),
	})
}

// keyStatus is the answer to GET /v1/keys/{key}.
type keyStatus struct {
	Key string `json:"key"`
	// State is the name of the key's phase in the ledger.
	State string `json:"state"`
	// Status is the HTTP status of the recorded answer; 0 if none is recorded.
	Status int `json:"status,omitempty"`
}

// lookupKey answers with the state of an idempotency key in the ledger.
func (l *Listener) lookupKey(w http.ResponseWriter, r request) error {
	key, err := url.PathUnescape(mux.Vars(r.Request)["key"])
	if err != nil {
		return refuser.New(refuser.BadKey, "%v", err)
	}
	outcome, ok := l.cfg.Lookup(r.org.Template.Name, key)
	if !ok {
		return refuser.New(refuser.NoSuchRequest, "this node knows no request under the key").WithEarlier(refuser.Maybe)
	}
	status := keyStatus{Key: key, State: outcome.Phase.String()}
	if outcome.Answer != nil {
		status.Status = outcome.Answer.Status
	}
	return writeJSON(w, status)
}
