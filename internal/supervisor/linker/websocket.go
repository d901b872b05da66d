package linker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/gravitational/trace"
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
func upgrade(w http.ResponseWriter, r *http.Request) (Conn, error) {
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return Conn{}, trace.ConnectionProblem(err, "accepting a WebSocket")
	}
	return wrap(ws), nil
}

// dialWebSocket returns a function that dials nodes with the secret.
func dialWebSocket(secret string) func(context.Context, string) (Conn, error) {
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
		return wrap(ws), nil
	}
}

// wrap returns a Conn over a WebSocket.
func wrap(ws *websocket.Conn) Conn {
	ws.SetReadLimit(maxMessageBytes)
	return Conn{
		Send: func(data []byte) error {
			if err := ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			return ws.WriteMessage(websocket.BinaryMessage, data)
		},
		Receive: func() ([]byte, error) {
			_, data, err := ws.ReadMessage()
			return data, err
		},
		Close: func() { _ = ws.Close() },
	}
}
