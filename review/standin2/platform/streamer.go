package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of each stream, and streamPause the time
	// between two of them.
	streamEvents = 60
	streamPause  = 50 * time.Millisecond
)

// stream is a replica in a process of its own, whose streams have neither a length nor
// chunks and end with their channel. It prints its address and what it runs.
func stream(id string) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fail(err)
	}
	fmt.Println("address", l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return fail(err)
		}
		go serveStream(c, id)
	}
}

// serveStream answers one request. Each event is written by one call.
func serveStream(c net.Conn, id string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	attempt := req.Header.Get("X-Attempt-Id")
	if req.Header.Get("X-Expect-Instance") != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
		return
	}
	fmt.Println("run", attempt)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id, attempt)
	for i := 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: part %d of %d\n\n", i, i, streamEvents); err != nil {
			return
		}
		time.Sleep(streamPause)
	}
	fmt.Println("end", attempt)
}

// Streamer is a process that runs stream.
type Streamer struct {
	ID, Addr string
	Born     int64
	cmd      *exec.Cmd
}

// Streamer starts a replica process and registers it as ready.
func (w *World) Streamer(id, service string) (*Streamer, error) {
	s := &Streamer{ID: id, Born: time.Now().UnixMilli(), cmd: exec.Command(os.Args[0], "stream", id)}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	w.close = append(w.close, s.Kill)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("replica %s has not started", id)
	}
	s.Addr = strings.TrimPrefix(lines.Text(), "address ")
	go func() {
		for lines.Scan() {
			kind, attempt, _ := strings.Cut(lines.Text(), " ")
			w.Rec.Add(Event{Kind: kind, Request: attempt, At: id})
		}
	}()
	w.Store.Put("servers", id, map[string]any{
		"service": service, "address": s.Addr, "zone": "zone-a", "version": "v1", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": s.Born,
	})
	return s, nil
}

// Kill ends the process by SIGKILL.
func (s *Streamer) Kill() {
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
}
