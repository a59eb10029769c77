package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens limits the answers to requests that set no limit.
const DefaultMaxTokens = 256

// numWords is the number of different words: those of up to five base-36
// digits.
const numWords = 36 * 36 * 36 * 36 * 36

// Answer returns the first words of the answer to a prompt, one word per
// token. The prompt is the result of prefix.Text. Every engine generates the
// same answer, so that tests can compare answers of any engines.
func Answer(model, version, prompt string, tokens int) string {
	return newScript(model, version, prompt).text(0, tokens)
}

// AnswerTokens returns the length of the complete answer to a prompt, which is
// at least half of maxTokens and at most maxTokens.
func AnswerTokens(prompt string, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	half := maxTokens / 2
	return max(1, half+int(xxhash.Sum64String(prompt)%uint64(maxTokens-half+1)))
}

// script generates the words of one answer from a seed.
type script struct{ seed uint64 }

func newScript(model, version, prompt string) script {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model + "\x00" + version + "\x00")
	_, _ = d.WriteString(prompt)
	return script{seed: d.Sum64()}
}

// text returns the words from one offset up to another; every word but the
// first one of the answer has a leading space.
func (s script) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(mix(s.seed+uint64(i))%numWords, 36))
	}
	return b.String()
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
