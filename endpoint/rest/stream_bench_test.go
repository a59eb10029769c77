package rest_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/rest"
)

// benchTokens is the length of the benchmark's streams, with one token per
// frame.
const benchTokens = 2000

// BenchmarkStream reads frames of one token over loopback, from a server that
// sends prepared chunks.
func BenchmarkStream(b *testing.B) {
	var body []byte
	for i := range benchTokens {
		f := endpoint.Frame{
			RequestID: "0198f6c2-6d5e-7c5a-9d4e-1c2b3a495867", AttemptID: "0198f6c2-6d5e-7c5a-9d4e-1c2b3a495868",
			Offset: i, Text: " token", Tokens: 1, Model: "assistant", Version: "v1",
			End: i == benchTokens-1, Total: benchTokens, FinishReason: "stop",
		}
		data, err := json.Marshal(protocol.ChunkOf(f))
		if err != nil {
			b.Fatal(err)
		}
		body = append(append(append(body, "data: "...), data...), "\n\n"...)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	client := rest.NewClient(nil)
	defer client.Close()
	engine := client.Engine(l.Addr().String())
	b.ReportAllocs()
	frames := 0
	for b.Loop() {
		s, err := engine.Generate(context.Background(), endpoint.GenerateRequest{})
		if err != nil {
			b.Fatal(err)
		}
		for {
			_, err := s.Next(context.Background())
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				b.Fatal(err)
			}
			frames++
		}
		_ = s.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(frames), "ns/frame")
}
