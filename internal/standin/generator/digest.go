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

// tokenDigits is how many hexadecimal digits of a digest make a token.
const tokenDigits = 8

// digest is the model's computing: whatever enters it changes all that
// follows.
type digest [sha256.Size]byte

// hash joins parts, each with its length so that their borders count.
func hash(parts ...[]byte) digest {
	h := sha256.New()
	for _, part := range parts {
		h.Write(number(len(part)))
		h.Write(part)
	}
	return digest(h.Sum(nil))
}

func number(n int) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// identity is what a request runs on.
type identity struct {
	model, version, adapter string
}

// bytes is the identity's part in every digest.
func (id identity) bytes() []byte {
	sum := hash([]byte(id.model), []byte(id.version), []byte(id.adapter))
	return sum[:]
}

// embed starts a position with its input text.
func (id identity) embed(position int, text string) digest {
	return hash(id.bytes(), number(position), []byte(text))
}

// layer runs one layer at one position. It returns the layer's KV cache and
// its output.
func (id identity) layer(layer, position int, kv, state digest) (digest, digest) {
	kv = hash(id.bytes(), number(layer), kv[:], number(position), state[:])
	state = hash(id.bytes(), state[:], number(layer), kv[:])
	return kv, state
}

// token is the text of the token that the last layer's output stands for.
func token(state digest) string {
	return hex.EncodeToString(state[:])[:tokenDigits] + " "
}

// activation is what one stage hands to the next for one position.
type activation struct {
	state digest
	// words is how many words the input had.
	words int
	// blocks are the prefix hashes of a prompt, else empty.
	blocks []uint64
}

// newActivation starts a position.
func newActivation(id identity, position int, text string) activation {
	a := activation{state: id.embed(position, text), words: 1}
	if position == 0 {
		a.words = len(strings.Fields(text))
		a.blocks = driver.PrefixHashes(id.model, id.version, id.adapter, text)
	}
	return a
}

// String writes digest.words.block-block...
func (a activation) String() string {
	blocks := make([]string, len(a.blocks))
	for i, block := range a.blocks {
		blocks[i] = strconv.FormatUint(block, 16)
	}
	return hex.EncodeToString(a.state[:]) + "." + strconv.Itoa(a.words) + "." + strings.Join(blocks, "-")
}

// parseActivation reads what String wrote.
func parseActivation(text string) (activation, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return activation{}, trace.BadParameter("%q is no activation", text)
	}
	state, err := hex.DecodeString(parts[0])
	if err != nil || len(state) != sha256.Size {
		return activation{}, trace.BadParameter("%q is no digest", parts[0])
	}
	words, err := strconv.Atoi(parts[1])
	if err != nil {
		return activation{}, trace.BadParameter("%q is no number of words", parts[1])
	}
	a := activation{state: digest(state), words: words}
	for block := range strings.SplitSeq(parts[2], "-") {
		if block == "" {
			continue
		}
		sum, err := strconv.ParseUint(block, 16, 64)
		if err != nil {
			return activation{}, trace.BadParameter("%q is no block", block)
		}
		a.blocks = append(a.blocks, sum)
	}
	return a, nil
}

// Expect returns the n tokens that a whole model answers to a prompt.
func Expect(model, version string, layers int, prompt string, n int) []string {
	return ExpectAdapted(model, version, "", layers, prompt, n)
}

// ExpectAdapted is Expect with an adapter.
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
