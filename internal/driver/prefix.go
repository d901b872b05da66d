package driver

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of prompt words in a block of a prefix cache.
const BlockWords = 16

// PrefixHashes returns the hashes of a prompt's prefixes, one for each complete block
// of BlockWords words, shortest prefix first. Engines use the same hashes in their
// cache events.
func PrefixHashes(model, version, adapter, prompt string) []uint64 {
	words := strings.Fields(prompt)
	hash := xxhash.New()
	for _, part := range []string{model, version, adapter} {
		_, _ = hash.WriteString(part + "\x00")
	}
	blocks := make([]uint64, 0, len(words)/BlockWords)
	for len(words) >= BlockWords {
		for _, word := range words[:BlockWords] {
			_, _ = hash.WriteString(word + " ")
		}
		blocks = append(blocks, hash.Sum64())
		words = words[BlockWords:]
	}
	return blocks
}
