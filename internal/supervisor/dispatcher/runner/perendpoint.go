package runner

import (
	"sync"
)

// perEndpoint keeps a value for each endpoint; an unknown endpoint has the zero
// value. It is safe for concurrent use.
type perEndpoint[V any] struct {
	mu     sync.Mutex
	values map[string]V
}

// newPerEndpoint returns a perEndpoint without values.
func newPerEndpoint[V any]() *perEndpoint[V] {
	return &perEndpoint[V]{values: make(map[string]V)}
}

func (k *perEndpoint[V]) get(address string) V {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.values[address]
}

// update replaces the endpoint's value by what change returns for it.
func (k *perEndpoint[V]) update(address string, change func(V) V) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.values[address] = change(k.values[address])
}

// remove deletes an endpoint's value.
func (k *perEndpoint[V]) remove(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.values, address)
}
