package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// result is what a requester sees of one attempt.
type result struct {
	id     string
	status int
	seal   string
	body   string
	err    error
	sent   time.Time
	ended  time.Time
}

var attempts atomic.Int64

// channel is a kept channel of a requester to an entry.
type channel struct {
	record *record
	addr   string
	conn   net.Conn
	in     *bufio.Reader
}

// request sends one request and reads its answer. It opens a channel if none is open.
func (c *channel) request(method, host, path, key, body string, deadline time.Duration) result {
	r := result{id: fmt.Sprintf("%016x", 0x1000000+attempts.Add(1)), sent: time.Now()}
	defer func() { c.record.add("requester: %s %s %s to %s with key %q: %s", r.id, method, path, c.addr, key, r) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			r.err, r.ended = err, time.Now()
			return r
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, r.id, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", key)
	}
	if body != "" || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(r.sent.Add(deadline + 500*time.Millisecond))
	if _, r.err = io.WriteString(c.conn, b.String()); r.err == nil {
		r.read(c.in)
	}
	r.ended = time.Now()
	if r.err != nil {
		c.close()
	}
	return r
}

func (r *result) read(in *bufio.Reader) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.seal = resp.StatusCode, resp.Header.Get("X-Response-Seal")
	text, err := io.ReadAll(resp.Body)
	r.body, r.err = string(text), err
	if err == nil && resp.Close {
		r.err = nil
	}
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// String returns the result for the record.
func (r result) String() string {
	if r.err != nil && r.status == 0 {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	text := r.body
	if len(text) > 80 {
		text = text[:80] + "..."
	}
	if r.err != nil {
		return fmt.Sprintf("%d seal=%q, incomplete: %v", r.status, r.seal, r.err)
	}
	return fmt.Sprintf("%d seal=%q in %d ms: %q", r.status, r.seal, r.ended.Sub(r.sent).Milliseconds(), text)
}
