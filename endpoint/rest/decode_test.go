package rest

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
)

// seed seeds the random cases, so that every run draws the same ones.
const seed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func drawFrame(t *rapid.T) endpoint.Frame {
	f := endpoint.Frame{
		RequestID: rapid.StringMatching(`[a-z0-9-]{0,8}`).Draw(t, "request"),
		AttemptID: rapid.String().Draw(t, "attempt"),
		Offset:    rapid.Int().Draw(t, "offset"),
		Text:      rapid.String().Draw(t, "text"),
		Tokens:    rapid.IntRange(0, 100).Draw(t, "tokens"),
		Model:     rapid.StringMatching(`[a-z]{0,3}`).Draw(t, "model"),
		Version:   rapid.StringMatching(`[a-z]{0,3}`).Draw(t, "version"),
	}
	f.CachedTokens = rapid.IntRange(0, 5).Draw(t, "cached")
	if rapid.Bool().Draw(t, "end") {
		f.End, f.Total = true, rapid.Int().Draw(t, "total")
		f.FinishReason = rapid.SampledFrom([]string{"stop", "length", "\"", ""}).Draw(t, "reason")
	}
	if rapid.Bool().Draw(t, "loaded") {
		f.Load = &endpoint.Load{
			Running: rapid.Int().Draw(t, "running"), QueuedPromptTokens: rapid.Int().Draw(t, "queued"),
			PrefillRate: rapid.Float64().Draw(t, "prefill"), DecodeRate: rapid.Float64().Draw(t, "decode"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		}
	}
	return f
}

// TestDecodeRoundTrip decodes the chunks of random frames. It also checks that
// chunks of the usual form are parsed without encoding/json.
func TestDecodeRoundTrip(t *testing.T) {
	var d decoder
	rapid.Check(t, func(t *rapid.T) {
		f := drawFrame(t)
		data, err := json.Marshal(protocol.ChunkOf(f))
		if err != nil {
			t.Fatal(err)
		}
		got, err := d.decode(data)
		if err != nil || !reflect.DeepEqual(got, f) {
			t.Fatalf("%s: %v, %+v", data, err, got)
		}
	})
	usual := endpoint.Frame{RequestID: "r", AttemptID: "a", Text: " wórd", Tokens: 1, Model: "m", Version: "1", Load: &endpoint.Load{PrefillRate: 8e3}}
	data, err := json.Marshal(protocol.ChunkOf(usual))
	qt.Assert(t, err, qt.IsNil)
	got, ok := d.decodeFast(data)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.DeepEquals, usual)
}

// TestDecodeFastMatchesEncodingJSON corrupts chunks at random: for each chunk
// that the direct parser accepts, encoding/json must return the same frame.
func TestDecodeFastMatchesEncodingJSON(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(protocol.ChunkOf(drawFrame(t)))
		if err != nil {
			t.Fatal(err)
		}
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			data = append(data[:at:at], data[at+1:]...)
		} else {
			data[at] = rapid.SampledFrom([]byte(`{}[]",:\ 0-.etn`+"\xff\x01")).Draw(t, "byte")
		}
		var d decoder
		fast, ok := d.decodeFast(data)
		if !ok {
			return
		}
		accepted++
		var c protocol.Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
		slow, ok := protocol.FrameOf(&c)
		if !ok || !reflect.DeepEqual(fast, slow) {
			t.Fatalf("%s: %+v, not %+v", data, fast, slow)
		}
	})
	qt.Assert(t, accepted > 0, qt.IsTrue)
}

func TestDecodeRejectsInvalidChunks(t *testing.T) {
	for _, data := range []string{
		``, `{`, `[]`, `{}`, `{"choices":[]}`, `{"choices":[{}],"coltsfootcleat":{}}`,
		`{"choices":[{"delta":{"content":"x"}}]}`, `{"coltsfootcleat":{"offset":1}}`,
		`{"choices":[{"delta":{"content":"x"}}],"coltsfootcleat":{"offset":1}} `[:60],
	} {
		_, err := new(decoder).decode([]byte(data))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", data))
	}
}
