package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
)

// Control holds switches that a test sets at run time.
type Control[T any] struct {
	mu    sync.Mutex
	value T
	// onChange is called with each new value, in the order of the changes, and
	// returns the value to store; it may be nil.
	onChange func(T) T
}

// NewControl returns switches with their initial values.
func NewControl[T any](value T, onChange func(T) T) *Control[T] {
	return &Control[T]{value: value, onChange: onChange}
}

// Get returns the current values.
func (c *Control[T]) Get() T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// Update changes the values and returns the new ones.
func (c *Control[T]) Update(change func(T) T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = change(c.value)
	if c.onChange != nil {
		c.value = c.onChange(c.value)
	}
	return c.value
}

// ServeHTTP answers GET with the current values; POST sets the fields that its
// body contains and leaves the others unchanged.
func (c *Control[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		Answer(w, http.StatusOK, c.Get())
		return
	}
	body, err := Body(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// Decode into a scratch value first, so that an invalid body changes nothing.
	var trial T
	if err := decodeOnto(body, &trial); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	Exempt(r.Context())
	value := c.Update(func(v T) T {
		_ = decodeOnto(body, &v)
		return v
	})
	Answer(w, http.StatusOK, value)
}

// decodeOnto sets the fields that the body contains; unknown fields are an error.
func decodeOnto[T any](body []byte, v *T) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
