package linker

import "time"

// liveness tracks whether a link's peer still answers. It is an immutable value.
type liveness struct {
	// lastReceived is when the last frame was received.
	lastReceived time.Time
	// lastSent and lastSeen are the highest sequences sent and received.
	lastSent uint64
	lastSeen uint64
	// awaitedAck is the sequence whose acknowledgement is awaited since
	// awaitedSince, when it was sent; 0 if none.
	awaitedAck   uint64
	awaitedSince time.Time
}

// withSent returns the state after one more frame is sent.
func (p liveness) withSent(now time.Time) liveness {
	p.lastSent++
	if p.awaitedAck == 0 {
		p.awaitedAck, p.awaitedSince = p.lastSent, now
	}
	return p
}

// withReceived returns the state after a frame with this sequence and ack is
// received.
func (p liveness) withReceived(now time.Time, sequence, ack uint64) liveness {
	p.lastReceived = now
	p.lastSeen = max(p.lastSeen, sequence)
	if p.awaitedAck != 0 && ack >= p.awaitedAck {
		p.awaitedAck = 0
	}
	return p
}

// unresponsive reports whether no frame, or no acknowledgement, was received for too
// long. Frames that come without acknowledging ours don't prove that ours arrive.
func (p liveness) unresponsive(now time.Time) bool {
	if now.Sub(p.lastReceived) > unresponsiveTimeout {
		return true
	}
	return p.awaitedAck != 0 && now.Sub(p.awaitedSince) > unresponsiveTimeout
}
