package bounder

import (
	"bytes"
	"unicode/utf8"
)

// defaultMemory is the memory limit in bytes of a process whose readers have no budget. It is the
// goal for a node.
const defaultMemory = 256 << 20

const (
	// invalidTextFactor is the memory of decoded text over its bytes if it isn't valid UTF-8:
	// each invalid byte is replaced by a character of three.
	invalidTextFactor = 3
	// roundingRatio is the inverse of the part that the allocator adds to large texts at most.
	roundingRatio = 8
)

// OrDefault returns the budget of a process with 256 MB if b is empty, and b otherwise.
func (b Budget) OrDefault() Budget {
	if b.Calls == nil {
		return NewBudget(defaultMemory, nil)
	}
	return b
}

// DecodedSize returns the most memory in bytes that the decoded form of a JSON document takes if
// each value of a list takes perValue bytes besides its text. Lists double while they grow, so that
// perValue is twice the size of a value.
func DecodedSize(document []byte, perValue int64) int64 {
	text := int64(len(document))
	if !utf8.Valid(document) {
		text *= invalidTextFactor
	}
	text += text / roundingRatio
	return text + CountValues(document)*perValue
}

// CountValues returns the largest number of values that a list in a JSON document may have: one
// more than its commas. Those within strings, as in tables and code, separate no values.
func CountValues(document []byte) int64 {
	comma, quote := []byte{','}, byte('"')
	n := int64(1)
	for {
		start := bytes.IndexByte(document, quote)
		if start < 0 {
			return n + int64(bytes.Count(document, comma))
		}
		n += int64(bytes.Count(document[:start], comma))
		document = skipString(document[start+1:])
	}
}

// skipString returns what follows the string that a text begins within.
func skipString(text []byte) []byte {
	for {
		i := bytes.IndexAny(text, `"\\`)
		switch {
		case i < 0:
			return nil
		case text[i] == '"':
			return text[i+1:]
		}
		text = text[min(i+2, len(text)):]
	}
}
