package detourer

import (
	"context"
	"io"
)

// cancelledBody is the body of a reply whose context is cancelled when it is closed.
type cancelledBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b cancelledBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
