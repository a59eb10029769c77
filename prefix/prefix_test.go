package prefix_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

// drawWords draws the words of a text of up to four blocks.
func drawWords(t *rapid.T, label string) []string {
	word := rapid.StringMatching(`[a-z]{1,4}`)
	return rapid.SliceOfN(word, 0, 4*prefix.BlockTokens).Draw(t, label)
}

func TestHashesMatchUpToCommonPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := drawWords(t, "shared")
		a := append(append([]string{}, shared...), drawWords(t, "a")...)
		b := append(append([]string{}, shared...), drawWords(t, "b")...)
		hashesA, tokensA := prefix.Hashes("customer", strings.Join(a, " "))
		hashesB, _ := prefix.Hashes("customer", strings.Join(b, " "))
		if tokensA != len(a) || len(hashesA) != len(a)/prefix.BlockTokens {
			t.Fatalf("%d words: %d tokens, %d hashes", len(a), tokensA, len(hashesA))
		}
		same := 0
		for same < min(len(a), len(b)) && a[same] == b[same] {
			same++
		}
		for i := range min(len(hashesA), len(hashesB)) {
			want := (i+1)*prefix.BlockTokens <= same
			if (hashesA[i] == hashesB[i]) != want {
				t.Fatalf("block %d: equal is %v, want %v", i, !want, want)
			}
		}
	})
}

func TestHashesDifferBetweenCustomers(t *testing.T) {
	c := qt.New(t)
	text := strings.Repeat("word ", 3*prefix.BlockTokens)
	one, _ := prefix.Hashes("one", text)
	two, _ := prefix.Hashes("two", text)
	c.Assert(one, qt.HasLen, 3)
	for i := range one {
		c.Assert(one[i], qt.Not(qt.Equals), two[i])
	}
}

func TestCountIgnoresWhiteSpace(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]int{"": 0, " \n": 0, "a": 1, " a\tb \nc ": 3} {
		c.Assert(prefix.Count(text), qt.Equals, want, qt.Commentf("%q", text))
	}
}
