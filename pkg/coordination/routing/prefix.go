package routing

import "github.com/zeebo/xxh3"

// prefixHashBytes is how much of a prompt is hashed for prefix affinity.
// Engines cache whole blocks of tokens, and system prompts are usually longer
// than this.
const prefixHashBytes = 256

// PrefixHash returns a hash of the start of a prompt, or zero if the prompt is
// too short to be worth caching.
func PrefixHash(prompt string) uint64 {
	if len(prompt) < prefixHashBytes {
		return 0
	}
	return max(1, xxh3.HashString(prompt[:prefixHashBytes]))
}
