package rest_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/rest"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// callRaw calls a plain service that sends the given bytes as soon as the header of the
// call has arrived, reads a part of the call's body and closes the connection.
func callRaw(t *testing.T, reply string, call []byte, read int64) (endpoint.Reply, error) {
	const address = "10.0.0.1:80"
	network := memnet.New()
	l, err := network.Listen(address)
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				req, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				_, _ = io.WriteString(nc, reply)
				_, _ = io.CopyN(io.Discard, req.Body, read)
			}()
		}
	}()
	client := rest.NewClient(network.Dialer("10.0.0.2"))
	defer client.Close()
	return client.Service(address).Call(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/", Body: call, Key: "k", AttemptID: "a"})
}

// Guards against the part of a reply that a service sent before it closed its connection,
// in the middle of the call, counting as a complete reply.
func TestReplyIsIncompleteIfItsConnectionEndsWithinTheCall(t *testing.T) {
	call := bytes.Repeat([]byte("u"), 1<<20)
	for _, read := range []int{0, 100 << 10, len(call)} {
		t.Run(fmt.Sprintf("after %d bytes", read), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reply, err := callRaw(t, "HTTP/1.1 200 OK\r\n\r\npart", call, int64(read))
				if read == len(call) {
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, string(reply.Body), qt.Equals, "part")
					return
				}
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q counts as complete", reply.Body))
				qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
			})
		})
	}
}

// Guards against a reply that isn't valid HTTP counting as the reply of the service.
func TestMalformedReplyIsAFailure(t *testing.T) {
	for _, test := range []struct{ name, reply string }{
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad"},
		{"status 000 without a length", "HTTP/1.1 000 X\r\n\r\nbad"},
		{"status 099 without a body", "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n"},
		{"blank after the transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 3\r\n\r\nbad"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, err := callRaw(t, test.reply, nil, 0)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("status %d with %q", got.Status, got.Body))
				qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
			})
		})
	}
}
