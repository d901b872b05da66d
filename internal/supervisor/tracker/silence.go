package tracker

import (
	"maps"
	"slices"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/replicator"
)

// Encoding and rate of the silences of data centres that are sent to peers.
const (
	// silenceUnit is the resolution of a silence that is sent.
	silenceUnit = 100 * time.Millisecond
	// maxSilenceUnits is the longest silence that is sent, in silenceUnits.
	maxSilenceUnits = 100
	// silenceInterval is the minimum time between two messages with silences over one
	// link.
	silenceInterval = time.Second
)

// message is what one tracker sends another.
type message struct {
	Deltas   replicator.Message `cbor:"1,keyasint,omitempty"`
	Silences []centreSilence    `cbor:"2,keyasint,omitempty"`
}

// centreSilence is how long a data centre has been silent. The nodes' clocks need
// not agree: each node measures from when it heard the data centre itself, or from
// the silence that another node sent.
type centreSilence struct {
	_ struct{} `cbor:",toarray"`
	// Centre is the centreID of the data centre.
	Centre uint16
	// Units is the silence in silenceUnits.
	Units uint8
}

// centreID returns the hash that stands for a data centre's name in messages.
func centreID(centre string) uint16 {
	return uint16(replicator.ID(centre))
}

// dueSilences returns the silences to send over a link, nil until silenceInterval
// has passed since the last ones.
func (c *core) dueSilences(now time.Time, link string) []centreSilence {
	if now.Sub(c.silencesSentAt[link]) < silenceInterval {
		return nil
	}
	c.silencesSentAt[link] = now
	var silences []centreSilence
	for _, centre := range slices.Sorted(maps.Keys(c.lastHeard)) {
		units := now.Sub(c.lastHeard[centre]) / silenceUnit
		if centre == c.self.Centre {
			units = 0
		}
		if units >= 0 && units <= maxSilenceUnits {
			silences = append(silences, centreSilence{Centre: centreID(centre), Units: uint8(units)})
		}
	}
	return silences
}

// mergeSilences updates lastHeard from a peer's message for each data centre that
// the peer has heard more recently than this node.
func (c *core) mergeSilences(now time.Time, silences []centreSilence) {
	for _, s := range silences {
		for centre, previous := range c.lastHeard {
			heardAt := now.Add(-time.Duration(s.Units) * silenceUnit)
			if centreID(centre) == s.Centre && heardAt.After(previous) {
				c.lastHeard[centre] = heardAt
			}
		}
	}
}

// flush returns the message that is due for a link's peer.
func (c *core) flush(now time.Time, link string, allow, allowGauge func(bytes int) bool) message {
	return message{Deltas: c.table.Flush(link, allow, allowGauge), Silences: c.dueSilences(now, link)}
}

// encode returns the message in CBOR, nil if it is empty.
func encode(msg message) []byte {
	if msg.Deltas.Empty() && len(msg.Silences) == 0 {
		return nil
	}
	data, err := encoder.CBOR(msg)
	if err != nil {
		panic(err) // the types always encode
	}
	return data
}
