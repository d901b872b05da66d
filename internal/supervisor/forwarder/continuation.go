package forwarder

import (
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// checkHead checks that an answer can continue the one whose head the caller has: that it is
// of the same weights, and that its body has the same encoding and, if both name one, type.
func (c *call) checkHead(s *session, reply driver.Reply) error {
	if !c.answered {
		return nil
	}
	const contentType, contentEncoding = "Content-Type", "Content-Encoding"
	begun := c.w.Header()
	if s.version != "" && reply.Version != "" && reply.Version != s.version {
		return trace.BadParameter("the stream began with version %s of the weights, the answer has %.40q", s.version, reply.Version)
	}
	if got, want := reply.Header.Get(contentEncoding), begun.Get(contentEncoding); got != want {
		return trace.BadParameter("the stream began with encoding %q, the answer has %.40q", want, got)
	}
	got, want := mediaType(reply.Header.Get(contentType)), mediaType(begun.Get(contentType))
	if got != "" && want != "" && got != want {
		return trace.BadParameter("the stream began with type %q, the answer has %.40q", want, got)
	}
	return nil
}

// mediaType returns a header's value without its parameters.
func mediaType(value string) string {
	value, _, _ = strings.Cut(value, ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// checkOrder checks that an event may be the next one that the caller gets. continued is set
// for the first event of an answer that continues another endpoint's.
func (c *call) checkOrder(id string, continued bool) error {
	switch {
	case !follows(c.lastEventID, id, continued):
		return errNotInOrder
	case continued && c.numbering.skips(c.lastEventID, id):
		return errSkipped
	default:
		return nil
	}
}

// checkEnd checks that an answer that has ended may be the end of the stream. One without an
// event lacks the stream's events if it continues another answer that has more, or if it may
// have ended since its endpoint stopped.
func (c *call) checkEnd(reply driver.Reply, state snapshot) error {
	switch {
	case state.attemptEvents > 0:
		return nil
	case !c.answered && reply.Unframed:
		return errNoEvent
	case c.answered && !c.ended && !c.atMaximum(state.events):
		return errNotContinued
	default:
		return nil
	}
}

// atMaximum reports whether a number of events is the most that the request allows. Nothing in
// a stream marks its last event, so that a shorter one is known to be complete only by the end
// of the answer that it is in.
func (c *call) atMaximum(events int) bool {
	tokens := events
	if c.members.layered() {
		tokens *= max(c.members.service.Engine.TokensPerEvent, 1)
	}
	return c.MaxAnswerTokens > 0 && c.LastEventID == "" && tokens >= c.MaxAnswerTokens
}
