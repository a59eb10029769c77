// Package prefix hashes prompts in blocks, so that two prompts share their
// first hashes exactly as far as they share their first tokens.
//
// A hash covers its block and, chained, all blocks before it, and is salted
// with the customer, so that no customer's prompt matches another's.
package prefix

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// BlockTokens is the number of tokens of a block.
const BlockTokens = 64

// Text returns the canonical text of a prompt.
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

// Count returns the number of tokens of a text. Tokens are counted as words,
// which is what the entries know without a tokenizer.
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

// Hashes returns the chained hashes of all whole blocks of a text, and the
// text's token count.
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
				chain = link(chain, text[start:i])
				hashes = append(hashes, chain)
				start = i
			}
			n++
		}
		inWord = !space
	}
	if n > 0 && n%BlockTokens == 0 {
		hashes = append(hashes, link(chain, text[start:]))
	}
	return hashes, n
}

func link(chain uint64, block string) uint64 {
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

// Skip returns a text without its first n tokens. White space belongs to the
// token that it leads.
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
