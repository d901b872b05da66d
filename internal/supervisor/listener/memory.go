package listener

import (
	"bytes"
	"io"
	"net/http"

	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
)

const (
	// chatValueMemory is the memory in bytes of a value of a chat request besides its text: twice
	// that of a message, as lists double while they grow.
	chatValueMemory = 64
	// promptFactor is the memory of a prompt over the bytes of the messages that it joins. Its
	// buffer doubles while it grows.
	promptFactor = 2
	// maxChatFactor bounds the decoded form of a chat request, as a multiple of the longest body.
	maxChatFactor = 8
	// minChatBytes is the decoded size in bytes that is allowed whatever the longest body is.
	minChatBytes = 1 << 20
)

// refuseHead refuses a request for whose head there is no memory. Whose request it is, and what its
// path is, is not known.
func (l *Listener) refuseHead(conn io.Writer) error {
	refusal := refuser.New(refuser.NodeOverload, "reading the head: %v", bounder.ErrExhausted).WithWait(retryElsewhereDelay).WithEarlier(refuser.Maybe)
	l.cfg.Counters.Refusals.Add(refusal.Code.String(), 1)
	l.cfg.Recorder.Info(recorder.RequestRefused,
		zap.Int("code", int(refusal.Code)), zap.Stringer("ran", refusal.Ran), zap.String("detail", refusal.Detail))
	w := &headWriter{header: http.Header{"Connection": {"close"}}}
	refusal.Write(w)
	resp := &http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: w.status, Header: w.header,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
	return resp.Write(conn)
}

// headWriter keeps a response.
type headWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the response's header.
func (w *headWriter) Header() http.Header { return w.header }

// WriteHeader sets the status.
func (w *headWriter) WriteHeader(status int) { w.status = status }

// Write adds to the body.
func (w *headWriter) Write(data []byte) (int, error) { return w.body.Write(data) }

// noMemory refuses a request for which there is no memory. The rest of it is not read, so that
// the caller has the refusal at once.
func (l *Listener) noMemory(w http.ResponseWriter, r request, err error) error {
	w.Header().Set("Connection", "close")
	return l.withOtherNodes(r, refuser.New(refuser.NodeOverload, "reading the request: %v", err).WithWait(retryElsewhereDelay))
}

// decodeChat decodes the body of a chat after it has reserved memory for the decoded form and the
// prompt.
func (l *Listener) decodeChat(w http.ResponseWriter, r request, data []byte, held *bounder.Reservation) (chatRequest, error) {
	size := bounder.DecodedSize(data, chatValueMemory) + promptFactor*int64(len(data))
	if limit := max(minChatBytes, maxChatFactor*l.cfg.Limits.BodyBytes); size > limit {
		return chatRequest{}, refuser.New(refuser.BodyTooLarge, "the limit of the decoded body is %d bytes", limit)
	}
	if err := held.Resize(int64(cap(data)) + size); err != nil {
		return chatRequest{}, l.noMemory(w, r, err)
	}
	req, err := encoder.FromJSON[chatRequest](data)
	if err != nil {
		return req, refuser.New(refuser.BadJSON, "%v", err)
	}
	return req, nil
}
