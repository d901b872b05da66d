package generator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// tokenDigits is the number of hexadecimal digits of a digest that make up a token.
const tokenDigits = 8

// digest stands in for the model's computation: a change of any input changes every
// later output.
type digest [sha256.Size]byte

// hash hashes the parts, each preceded by its length so that moving a byte from one
// part to the next changes the digest.
func hash(parts ...[]byte) digest {
	h := sha256.New()
	for _, part := range parts {
		h.Write(encodeInt(len(part)))
		h.Write(part)
	}
	return digest(h.Sum(nil))
}

func encodeInt(n int) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// identity is the model, version and adapter that a request runs on.
type identity struct {
	model, version, adapter string
}

// bytes returns the identity's contribution to every digest.
func (id identity) bytes() []byte {
	sum := hash([]byte(id.model), []byte(id.version), []byte(id.adapter))
	return sum[:]
}

// embed returns the input state of a position from its text.
func (id identity) embed(position int, text string) digest {
	return hash(id.bytes(), encodeInt(position), []byte(text))
}

// layer computes one layer at one position. It returns the layer's new KV cache and
// its output state.
func (id identity) layer(layer, position int, kv, state digest) (digest, digest) {
	kv = hash(id.bytes(), encodeInt(layer), kv[:], encodeInt(position), state[:])
	state = hash(id.bytes(), state[:], encodeInt(layer), kv[:])
	return kv, state
}

// token returns the text of the token for the last layer's output.
func token(state digest) string {
	return hex.EncodeToString(state[:])[:tokenDigits] + " "
}

// activation is what one stage passes to the next for one position.
type activation struct {
	state digest
	// words is the number of words of the input.
	words int
	// blocks holds the prefix hashes of a prompt; it is empty at later positions.
	blocks []uint64
}

// newActivation returns the first layer's input for a position.
func newActivation(id identity, position int, text string) activation {
	a := activation{state: id.embed(position, text), words: 1}
	if position == 0 {
		a.words = len(strings.Fields(text))
		a.blocks = driver.PrefixHashes(id.model, id.version, id.adapter, text)
	}
	return a
}

// String encodes the activation as digest.words.block-block...
func (a activation) String() string {
	blocks := make([]string, len(a.blocks))
	for i, block := range a.blocks {
		blocks[i] = strconv.FormatUint(block, 16)
	}
	return hex.EncodeToString(a.state[:]) + "." + strconv.Itoa(a.words) + "." + strings.Join(blocks, "-")
}

// parseActivation decodes the output of String.
func parseActivation(text string) (activation, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return activation{}, trace.BadParameter("%q is not an activation", text)
	}
	state, err := hex.DecodeString(parts[0])
	if err != nil || len(state) != sha256.Size {
		return activation{}, trace.BadParameter("%q is not a digest", parts[0])
	}
	words, err := strconv.Atoi(parts[1])
	if err != nil {
		return activation{}, trace.BadParameter("%q is not a number of words", parts[1])
	}
	a := activation{state: digest(state), words: words}
	for block := range strings.SplitSeq(parts[2], "-") {
		if block == "" {
			continue
		}
		sum, err := strconv.ParseUint(block, 16, 64)
		if err != nil {
			return activation{}, trace.BadParameter("%q is not a block hash", block)
		}
		a.blocks = append(a.blocks, sum)
	}
	return a, nil
}

// Expect returns the first n tokens that the whole model answers to a prompt.
func Expect(model, version string, layers int, prompt string, n int) []string {
	return ExpectAdapted(model, version, "", layers, prompt, n)
}

// ExpectAdapted is like Expect, for a model with an adapter.
func ExpectAdapted(model, version, adapter string, layers int, prompt string, n int) []string {
	id := identity{model: model, version: version, adapter: adapter}
	kv := make([]digest, layers)
	tokens := make([]string, 0, n)
	text := prompt
	for position := range n {
		state := id.embed(position, text)
		for layer := range layers {
			kv[layer], state = id.layer(layer, position, kv[layer], state)
		}
		text = token(state)
		tokens = append(tokens, text)
	}
	return tokens
}
