package routing

import "github.com/zeebo/xxh3"

// prefixBytes is how much of a prompt is hashed for prefix affinity. Engines
// cache whole blocks of tokens; system prompts are usually longer than this.
const prefixBytes = 256

// PrefixOf returns the hash of the start of a prompt, or zero for prompts that
// are too short to be worth caching.
func PrefixOf(prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return max(1, xxh3.HashString(prompt[:prefixBytes]))
}
