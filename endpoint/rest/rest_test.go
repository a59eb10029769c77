package rest_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/rest"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// serve serves a handler in the test's synctest bubble until the test ends.
func serve(c *qt.C, network *memnet.Network, address string, h http.Handler) {
	l, err := network.Listen(address)
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { _ = server.Close() })
}

func TestStreamOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		engine := standin.NewEngine(standin.EngineConfig{Model: "m", Version: "1", PrefillRate: 1000, DecodeRate: 40})
		defer engine.Close()
		serve(c, network, "10.0.0.1:80", engine.Handler())
		client := rest.NewClient(network.Dialer("10.0.0.2"))
		defer client.Close()
		messages := []endpoint.Message{{Role: "user", Content: "which wick for a votive stand"}}

		start := time.Now()
		s, err := client.Engine("10.0.0.1:80").Generate(t.Context(), endpoint.GenerateRequest{
			RequestID: "r1", AttemptID: "a1", Customer: "c", Model: "m", Version: "1", Messages: messages, MaxTokens: 20,
		})
		c.Assert(err, qt.IsNil)
		text, tokens := "", 0
		for {
			f, err := s.Next(t.Context())
			if errors.Is(err, io.EOF) {
				break
			}
			c.Assert(err, qt.IsNil)
			c.Assert(f.Offset, qt.Equals, tokens)
			c.Assert(f.AttemptID, qt.Equals, "a1")
			text += f.Text
			tokens += f.Tokens
		}
		c.Assert(s.Close(), qt.IsNil)
		prompt := prefix.Text(messages)
		want := standin.AnswerTokens(prompt, 20)
		c.Assert(tokens, qt.Equals, want)
		c.Assert(text, qt.Equals, standin.Answer("m", "1", prompt, want))
		// Seven prompt tokens at 1000 a second, then 25 ms for each token
		// after the first.
		c.Assert(time.Since(start), qt.Equals, 7*time.Millisecond+time.Duration(want-1)*25*time.Millisecond)
	})
}

func TestServiceCallOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		service := standin.NewService(standin.ServiceConfig{Name: "orders", Lookup: true})
		serve(c, network, "10.0.0.1:80", service.Handler())
		client := rest.NewClient(network.Dialer("10.0.0.2"))
		defer client.Close()
		reply, err := client.Service("10.0.0.1:80").Call(t.Context(), endpoint.Call{
			Method: http.MethodPost, Path: "/refills?stand=7", Body: []byte("{}"), Key: "k", AttemptID: "a",
		})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Status, qt.Equals, http.StatusOK)
		c.Assert(service.Executions("k"), qt.Equals, 1)
	})
}

// TestStreamCutAfterEachByte closes the connection after each byte of a chunk.
// A frame may only be returned if its chunk arrived completely.
func TestStreamCutAfterEachByte(t *testing.T) {
	chunk, err := json.Marshal(protocol.ChunkOf(endpoint.Frame{Text: "word", Tokens: 1}))
	qt.Assert(t, err, qt.IsNil)
	event := "data: " + string(chunk) + "\n\n"
	for end := range len(event) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			network := memnet.New()
			serve(c, network, "10.0.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, event+event[:end])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			client := rest.NewClient(network.Dialer("10.0.0.2"))
			defer client.Close()
			s, err := client.Engine("10.0.0.1:80").Generate(t.Context(), endpoint.GenerateRequest{})
			c.Assert(err, qt.IsNil)
			defer s.Close()
			frames := 0
			for err == nil {
				if _, err = s.Next(t.Context()); err == nil {
					frames++
				}
			}
			c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
			c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
			// The last byte is only the newline of the empty line after the
			// event.
			c.Assert(frames == 2, qt.Equals, end == len(event)-1)
		})
	}
}
