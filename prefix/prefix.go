// Package prefix computes chained block hashes of prompts. Entries compare
// them with the contents of the engines' prefix caches.
//
// Each hash covers its block and all blocks before it, so that two prompts
// have equal hashes for exactly the blocks of their common prefix. The chain
// starts from a hash of the customer, so that prompts of different customers
// never match.
//
// All functions are pure and safe for concurrent use.
package prefix

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// BlockTokens is the number of tokens in a block.
const BlockTokens = 64

// Text returns the canonical text of a prompt: each message as "role: content",
// followed by a newline.
func Text(messages []endpoint.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// Count returns the number of tokens in a text. It counts words, because the
// entries have no tokenizer.
func Count(text string) int {
	n := 0
	inWord := false
	for i := 0; i < len(text); i++ {
		space := isSpace(text[i])
		if !space && !inWord {
			n++
		}
		inWord = !space
	}
	return n
}

// Hashes returns the chained hashes of all complete blocks of a text, and the
// number of its tokens.
func Hashes(customer, text string) ([]uint64, int) {
	var (
		hashes []uint64
		chain  = xxhash.Sum64String(customer)
		start  = 0
		n      = 0
		inWord = false
	)
	for i := 0; i < len(text); i++ {
		space := isSpace(text[i])
		if !space && !inWord {
			if n > 0 && n%BlockTokens == 0 {
				chain = hashBlock(chain, text[start:i])
				hashes = append(hashes, chain)
				start = i
			}
			n++
		}
		inWord = !space
	}
	if n > 0 && n%BlockTokens == 0 {
		hashes = append(hashes, hashBlock(chain, text[start:]))
	}
	return hashes, n
}

// hashBlock returns the hash of a block, salted with the hash of the block
// before it.
func hashBlock(chain uint64, block string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var salt [8]byte
	binary.LittleEndian.PutUint64(salt[:], chain)
	_, _ = d.Write(salt[:])
	_, _ = d.WriteString(strings.TrimRight(block, " \t\r\n"))
	return d.Sum64()
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\n' || c == '\t' || c == '\r'
}

// Skip returns a text without its first n tokens. White space counts as part
// of the token that follows it.
func Skip(text string, n int) string {
	inWord := false
	for i := 0; i < len(text); i++ {
		space := isSpace(text[i])
		if space && inWord {
			n--
			if n == 0 {
				return text[i:]
			}
		}
		inWord = !space
	}
	if n <= 0 {
		return text
	}
	return ""
}
