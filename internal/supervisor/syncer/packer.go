package syncer

import (
	"bytes"
	"compress/gzip"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// A configuration of some thousand routes has hundreds of kilobytes. A reader with a slow
// link took ten seconds to send it to all nodes of its data centre, and changes of endpoints
// waited behind it.

const (
	// minPackedBytes is the size from which a configuration is compressed. Below it the
	// bytes saved aren't worth the processor time.
	minPackedBytes = 16 << 10
	// maxConfigurationBytes bounds a configuration that is decompressed. The store takes no
	// record of this size.
	maxConfigurationBytes = 16 << 20
	// acceptsGzip follows the sender's address in a query, behind a space, if the sender
	// takes compressed configurations. Older builds take the whole for a name.
	acceptsGzip = " gzip"
)

// packer compresses the last configuration that it is given once. It is safe for concurrent
// use.
type packer struct {
	mu     sync.Mutex
	raw    []byte
	packed []byte
}

// pack returns a configuration as it is sent to a node, compressed if the node accepts that
// and it is large.
func (p *packer) pack(raw []byte, from string) []byte {
	if len(raw) < minPackedBytes || !strings.HasSuffix(from, acceptsGzip) {
		return raw
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.raw) == len(raw) && &p.raw[0] == &raw[0] {
		return p.packed
	}
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return raw
	}
	if _, err := w.Write(raw); err != nil || w.Close() != nil {
		return raw
	}
	p.raw, p.packed = raw, buf.Bytes()
	return p.packed
}

// unpack returns the configuration of an answer, in memory of a pool until a function that it returns
// is called. Records of configurations never begin like compressed data.
func unpack(data []byte, memory *bounder.Pool) (raw []byte, release func(), err error) {
	if !bytes.HasPrefix(data, []byte{0x1f, 0x8b}) {
		return data, func() {}, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, nil, trace.BadParameter("decompressing a configuration: %v", err)
	}
	raw, held, err := memory.ReadAll(r, maxConfigurationBytes)
	if err != nil {
		return nil, nil, trace.Wrap(err, "decompressing a configuration")
	}
	return raw, held.Release, nil
}
