package booker

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/standin/server"
)

// Handler serves the service over HTTP.
func (b *Booker) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.Handle("/control", b.control).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", b.serveCounts).Methods(http.MethodGet)
	r.HandleFunc("/status", b.applyFreeze(b.serveStatus)).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(b.applyFreeze(b.serveCall))
	return r
}

// applyFreeze leaves requests unanswered while Freeze is set.
func (b *Booker) applyFreeze(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if b.control.Get().Freeze {
			server.Hang(r)
		}
		next(w, r)
	}
}

func (b *Booker) serveStatus(w http.ResponseWriter, _ *http.Request) {
	server.Answer(w, http.StatusOK, b.Status())
}

func (b *Booker) serveCounts(w http.ResponseWriter, _ *http.Request) {
	server.Answer(w, http.StatusOK, b.Counts())
}

// serveCall executes the call even if the caller disconnects in the meantime.
func (b *Booker) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := server.Body(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.addRunning(1)
	defer b.addRunning(-1)
	sw := b.control.Get()
	if sw.Refuse || sw.Leave {
		server.Answer(w, http.StatusGone, driver.Refused{Reason: driver.ReasonLeaving})
		return
	}
	time.Sleep(time.Duration(sw.DelayMillis) * time.Millisecond)
	execution, refused := b.execute(newCall(r, body))
	if refused != nil {
		server.Answer(w, http.StatusConflict, refused)
		return
	}
	if !server.Pause(r.Context(), b.cfg.Time) || sw.ReplyLost {
		server.Abort()
	}
	server.Answer(w, http.StatusOK, execution)
}

// order is the part of a JSON body that may carry the key.
type order struct {
	Order string `json:"order"`
}

// newCall takes the key from the Idempotency-Key header, else from the body, else
// from the path.
func newCall(r *http.Request, body []byte) call {
	c := call{key: r.Header.Get("Idempotency-Key"), echo: len(body)}
	c.fence, _ = strconv.ParseUint(r.Header.Get("Fence"), 10, 64)
	if c.key == "" {
		parsed, _ := encoder.FromJSON[order](body)
		c.key = parsed.Order
	}
	if c.key == "" {
		c.key = r.URL.Path
	}
	return c
}
