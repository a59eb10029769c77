package delivery

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

// reader is an Output that collects the chunks written to it.
type reader struct {
	from     int
	next     int
	text     strings.Builder
	largest  int
	ends     int
	writeErr error
}

func newReader(from int) *reader { return &reader{from: from, next: from} }

func (r *reader) Bound(string) error { return nil }

func (r *reader) Write(chunk Chunk) error {
	if r.writeErr != nil {
		return r.writeErr
	}
	if chunk.Offset != r.next {
		return errors.New("chunk leaves a gap or repeats tokens")
	}
	r.next += chunk.Tokens
	r.largest = max(r.largest, chunk.Tokens)
	r.text.WriteString(chunk.Text)
	return nil
}

func (r *reader) End(Summary) error {
	r.ends++
	return nil
}

// drawTokens draws the tokens of an answer: words, each but the first preceded
// by white space.
func drawTokens(t *rapid.T) []string {
	space := rapid.StringMatching(`[ \n\t]{1,3}`)
	word := rapid.StringMatching(`[a-zé.,]{1,4}`)
	tokens := make([]string, rapid.IntRange(1, 600).Draw(t, "tokens"))
	for i := range tokens {
		if tokens[i] = word.Draw(t, "word"); i > 0 {
			tokens[i] = space.Draw(t, "space") + tokens[i]
		}
	}
	return tokens
}

// drawChunks splits tokens into chunks at random positions.
func drawChunks(t *rapid.T, tokens []string) []Chunk {
	var chunks []Chunk
	longest := rapid.SampledFrom([]int{1, 7, len(tokens)}).Draw(t, "longest")
	for at := 0; at < len(tokens); {
		n := rapid.IntRange(1, min(longest, len(tokens)-at)).Draw(t, "piece")
		chunks = append(chunks, Chunk{Offset: at, Text: strings.Join(tokens[at:at+n], ""), Tokens: n})
		at += n
	}
	return chunks
}

// TestReaderGetsTheTextAfterItsOffset checks the text that a reader gets for
// any split of an answer into chunks, any offset, and any time at which the
// reader starts.
func TestReaderGetsTheTextAfterItsOffset(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tokens := drawTokens(rt)
		chunks := drawChunks(rt, tokens)
		from := rapid.IntRange(0, len(tokens)+2).Draw(rt, "from")
		early := rapid.IntRange(0, len(chunks)).Draw(rt, "early")
		want := strings.Join(tokens[min(from, len(tokens)):], "")

		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			answer := newLiveAnswer(&job.Record{Customer: "one"}, func(error) {})
			for _, chunk := range chunks[:early] {
				answer.add(chunk)
			}
			out := newReader(from)
			done := make(chan error)
			var reached int
			go func() {
				var err error
				reached, err = answer.follow(t.Context(), from, out)
				done <- err
			}()
			for _, chunk := range chunks[early:] {
				synctest.Wait()
				answer.add(chunk)
			}
			answer.end(&Summary{Tokens: len(tokens)}, nil)
			c.Assert(<-done, qt.IsNil)
			c.Assert(out.text.String(), qt.Equals, want)
			c.Assert(reached, qt.Equals, max(from, len(tokens)))
			c.Assert(out.ends, qt.Equals, 1)
			c.Assert(out.largest <= maxChunkTokens, qt.IsTrue)
		})

		// The record of the complete answer must give the same text.
		complete := strings.Join(tokens, "")
		out := newReader(from)
		f := follower{from: from, out: out}
		err := f.finish(&job.Record{Answer: &job.Answer{Text: job.Text{Inline: complete}, Tokens: len(tokens)}})
		if err != nil || out.text.String() != want || out.ends != 1 || out.largest > maxChunkTokens {
			rt.Fatalf("record from %d: %q, %v, want %q", from, out.text.String(), err, want)
		}
		if from < len(tokens) && prefix.Skip(complete, from) != want {
			rt.Fatalf("Skip %d: %q, want %q", from, prefix.Skip(complete, from), want)
		}
	})
}

// TestReadersContinueElsewhere checks that detached readers of an answer that
// has not ended get errContinuesElsewhere and the offset at which to continue.
func TestReadersContinueElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		answer := newLiveAnswer(&job.Record{}, func(error) {})
		answer.add(Chunk{Text: "a b", Tokens: 2})
		done := make(chan error)
		go func() {
			from, err := answer.follow(t.Context(), 1, newReader(1))
			c.Check(from, qt.Equals, 2)
			done <- err
		}()
		synctest.Wait()
		answer.detachReaders()
		c.Assert(<-done, qt.Equals, error(errContinuesElsewhere))

		// An answer that has ended keeps its result.
		ended := newLiveAnswer(&job.Record{}, func(error) {})
		ended.end(&Summary{}, nil)
		ended.detachReaders()
		_, err := ended.follow(t.Context(), 0, newReader(0))
		c.Assert(err, qt.IsNil)
	})
}

func TestFollowEndsWhenReaderDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		answer := newLiveAnswer(&job.Record{}, func(error) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := answer.follow(ctx, 0, newReader(0))
			done <- err
		}()
		synctest.Wait()
		cancel()
		c.Assert(<-done, qt.Equals, context.Canceled)

		answer.add(Chunk{Text: "a b", Tokens: 2})
		disconnected := errors.New("connection reset")
		from, err := answer.follow(t.Context(), 1, &reader{writeErr: disconnected})
		c.Assert(err, qt.Equals, disconnected)
		c.Assert(from, qt.Equals, 1)
	})
}
