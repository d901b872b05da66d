package linker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// Limits of a WebSocket.
const (
	maxMessageBytes = 1 << 20
	writeTimeout    = time.Second
	// headerBytes approximates the size of a WebSocket frame's header.
	headerBytes = 6
	bufferBytes = 4 << 10
)

// upgrader accepts WebSockets; the secret has been checked before it is used.
var upgrader = websocket.Upgrader{
	HandshakeTimeout: dialTimeout,
	ReadBufferSize:   bufferBytes,
	WriteBufferSize:  bufferBytes,
	WriteBufferPool:  &sync.Pool{},
}

// upgrade upgrades a request to a WebSocket connection.
func upgrade(w http.ResponseWriter, r *http.Request, memory *bounder.Pool) (Conn, error) {
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return Conn{}, trace.ConnectionProblem(err, "accepting a WebSocket")
	}
	return wrap(ws, memory), nil
}

// dialWebSocket returns a function that dials nodes with the secret.
func dialWebSocket(secret string, memory *bounder.Pool) func(context.Context, string) (Conn, error) {
	dialer := websocket.Dialer{
		HandshakeTimeout: dialTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  &sync.Pool{},
	}
	header := http.Header{}
	header.Set(secretHeader, secret)
	return func(ctx context.Context, address string) (Conn, error) {
		ws, resp, err := dialer.DialContext(ctx, "ws://"+address+Path, header)
		if resp != nil && resp.Body != nil {
			resp.Body.Close()
		}
		if err != nil {
			return Conn{}, trace.ConnectionProblem(err, "opening a WebSocket to %s", address)
		}
		return wrap(ws, memory), nil
	}
}

// wrap returns a Conn over a WebSocket. Its messages count against a pool, unless that is nil.
func wrap(ws *websocket.Conn, memory *bounder.Pool) Conn {
	ws.SetReadLimit(maxMessageBytes)
	in := &receiver{ws: ws, memory: memory}
	return Conn{
		Send: func(data []byte) error {
			if err := ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			return ws.WriteMessage(websocket.BinaryMessage, data)
		},
		Receive: in.receive,
		Close: func() {
			_ = ws.Close()
			in.release()
		},
	}
}

// receiver reads messages, each of which counts until the next one is awaited or the connection is
// closed.
type receiver struct {
	ws     *websocket.Conn
	memory *bounder.Pool

	mu sync.Mutex
	// held is the memory of the last message; nil if there is none. closed is set at the end.
	held   *bounder.Reservation
	closed bool
}

// receive returns the next message.
func (r *receiver) receive() ([]byte, error) {
	if r.memory == nil {
		_, data, err := r.ws.ReadMessage()
		return data, err
	}
	r.hold(nil)
	_, message, err := r.ws.NextReader()
	if err != nil {
		return nil, err
	}
	data, held, err := r.memory.ReadAll(message, maxMessageBytes)
	r.hold(held)
	return data, err
}

// hold replaces the memory of the last message.
func (r *receiver) hold(held *bounder.Reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held != nil {
		r.held.Release()
	}
	r.held = held
	if r.closed && held != nil {
		held.Release()
	}
}

// release returns the memory of the last message, and of one that is being read.
func (r *receiver) release() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.hold(nil)
}
