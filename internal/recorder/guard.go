package recorder

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// maxStackBytes limits the stack in the log line of a caught panic.
const maxStackBytes = 4 << 10

// Guard calls f and reports whether it returned. A panic in f is logged and ends only
// f, so that one message or request that nobody foresaw doesn't end the process. f must
// release its locks with defer.
func (r *Recorder) Guard(where string, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.Panicked(where, p)
		}
	}()
	f()
	return true
}

// Panicked logs a panic that its caller, a deferred function, has recovered.
func (r *Recorder) Panicked(where string, p any, fields ...zap.Field) {
	stack := debug.Stack()
	r.Error(PanicCaught, append(fields, zap.String("where", where), zap.String("panic", fmt.Sprint(p)),
		zap.ByteString("stack", stack[:min(len(stack), maxStackBytes)]))...)
}
