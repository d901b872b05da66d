package bounder

import (
	"errors"
	"expvar"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// The ratios are the parts of a process's memory limit that may be buffered, half of it in
	// all. The rest is for what the process itself keeps, and for what is no longer used until
	// the garbage collector runs.
	requestsRatio = 0.15
	callsRatio    = 0.2
	controlRatio  = 0.1
	reportsRatio  = 0.05
	// minBuffer is the size of the first buffer for a body, in bytes.
	minBuffer = 4 << 10
	// smallBytes is the size up to which a reader may use all of a pool. usualBytes is that up to
	// which it may use all but three sixteenths: the memory of the usual bodies, which have up to 64 KB.
	// Larger ones may use largeRatio of the pool.
	smallBytes = 16 << 10
	usualBytes = 64<<10 + 1
	usualRatio = 0.8125
	largeRatio = 0.75
)

// ErrExhausted is the error of a read for which the pool has no memory left.
var ErrExhausted = errors.New("the memory for buffered data is used up")

// exhausted is the error of a reader that wanted more memory than the held bytes.
type exhausted struct {
	held int64
}

// Error describes the error.
func (exhausted) Error() string { return ErrExhausted.Error() }

// Unwrap returns ErrExhausted.
func (exhausted) Unwrap() error { return ErrExhausted }

// Blameless reports whether the sender of what could not be read is not at fault: there was no memory
// for data of the usual size. A sender without an end is at fault, even where the memory ends before
// the limit of one body.
func Blameless(err error) bool {
	var e exhausted
	return errors.Is(err, ErrExhausted) && (!errors.As(err, &e) || e.held <= usualBytes)
}

// Budget is the memory of a process for what other parties send. It is shared by all readers
// of the process.
type Budget struct {
	// Requests is for callers' requests. It is separate so that a request that was accepted finds
	// memory for its answer.
	Requests *Pool
	// Calls is for endpoints' answers.
	Calls *Pool
	// Control is for the platform and for other nodes. It is separate so that calls can't keep
	// the node from its configuration.
	Control *Pool
	// Reports is for reports of endpoints and their answers to orders, which must keep the node
	// neither from its configuration nor from calls.
	Reports *Pool
}

// NewBudget returns the budget of a process with the given memory limit in bytes. Its metrics
// are added to the map, unless that is nil.
func NewBudget(memory int64, metrics *expvar.Map) Budget {
	b := Budget{
		Requests: NewPool(int64(requestsRatio * float64(memory))),
		Calls:    NewPool(int64(callsRatio * float64(memory))),
		Control:  NewPool(int64(controlRatio * float64(memory))),
		Reports:  NewPool(int64(reportsRatio * float64(memory))),
	}
	if metrics != nil {
		b.Requests.publish(metrics, "requests")
		b.Calls.publish(metrics, "calls")
		b.Control.publish(metrics, "control")
		b.Reports.publish(metrics, "reports")
	}
	return b
}

// LimitProcess makes the budget refuse readers of more than smallBytes while the Go runtime of this process
// holds most of the process's memory limit in bytes: what readers release stays in memory until it is
// collected. Readers of the platform go on, so that the node has its configuration. It is called before
// the budget is used.
func (b Budget) LimitProcess(memory int64) {
	p := newProcess(memory)
	b.Requests.process, b.Calls.process, b.Reports.process = p, p, p
}

// Pool limits the memory of all that is buffered at once. Parts of it are for small bodies and for those of
// the usual size, so that they are read beside readers without an end. Of the rest a reader gets more only
// while it holds no more than what is left, so that one can't take all of it. It is safe for
// concurrent use.
type Pool struct {
	mu sync.Mutex
	// used is at most size. usual and large are the parts of it for readers with more than
	// smallBytes and usualBytes; all are in bytes.
	size  int64
	usual int64
	large int64
	used  int64
	// refused counts the reservations that were not granted.
	refused int64
	// process, if set, is asked before a reader gets more than smallBytes.
	process *process
}

// NewPool returns a pool of the given size in bytes.
func NewPool(size int64) *Pool {
	return &Pool{size: size, usual: int64(usualRatio * float64(size)), large: int64(largeRatio * float64(size))}
}

// Used returns the number of bytes in use.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Refused returns the number of reservations that were not granted.
func (p *Pool) Refused() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// publish adds the pool's metrics under NAME_used and NAME_refused.
func (p *Pool) publish(metrics *expvar.Map, name string) {
	metrics.Set(name+"_used", expvar.Func(func() any { return p.Used() }))
	metrics.Set(name+"_refused", expvar.Func(func() any { return p.Refused() }))
}

// Reserve reserves size bytes for one reader. If there is no memory left, the error is
// ErrExhausted and the reservation is empty.
func (p *Pool) Reserve(size int64) (*Reservation, error) {
	r := &Reservation{pool: p}
	return r, r.Resize(size)
}

// Reservation is the memory that one reader holds of a pool.
type Reservation struct {
	pool *Pool
	// size is guarded by the pool's mutex.
	size int64
}

// Resize changes the size to the given number of bytes. A smaller one is always granted; if
// there is no memory for a larger one, the error is ErrExhausted and the size stays.
func (r *Reservation) Resize(size int64) error {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.used + size - r.size
	if size > r.size && !p.fits(size, used) {
		p.refused++
		return trace.Wrap(exhausted{held: r.size})
	}
	p.used, r.size = used, size
	return nil
}

// fits reports whether a reader may hold size bytes if that makes used bytes in all.
func (p *Pool) fits(size, used int64) bool {
	switch {
	case size <= smallBytes:
		return used <= p.size
	case p.process != nil && p.process.isCrowded():
		return false
	case size <= usualBytes:
		return used <= p.usual
	default:
		return size <= p.large-used
	}
}

// Shrink makes the size size bytes, if it is larger.
func (r *Reservation) Shrink(size int64) {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if size < r.size {
		p.used += size - r.size
		r.size = size
	}
}

// Release returns the memory. It may be called more than once.
func (r *Reservation) Release() {
	r.Shrink(0)
}

// ReadAll reads a whole body, and fails if it is longer than limit bytes, or with ErrExhausted.
// The memory of the body is in use until the reservation is released, which is never nil and empty
// after an error.
func (p *Pool) ReadAll(r io.Reader, limit int64) ([]byte, *Reservation, error) {
	held := &Reservation{pool: p}
	body, err := held.readAll(r, limit)
	if err != nil {
		held.Release()
	}
	return body, held, err
}

func (r *Reservation) readAll(body io.Reader, limit int64) ([]byte, error) {
	if err := r.Resize(minBuffer); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, minBuffer)
	for {
		if len(buf) == cap(buf) {
			size := min(2*int64(cap(buf)), limit+1)
			if err := r.Resize(size); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, errTooLong(limit)
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}
