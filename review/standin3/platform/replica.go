package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a sound replica of a service.
type replica struct {
	id, service, address, zone string
	born                       int64
	store                      *store
	record                     *record
	listener                   net.Listener
	work                       time.Duration

	mu       sync.Mutex
	sequence int
	state    string
	silent   bool
	arrivals []arrival
	open     map[net.Conn]bool
}

// arrival is a request that began to run.
type arrival struct {
	id, path string
	at       time.Time
}

func newReplica(c *testCase, id, service, ip, zone string) (*replica, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), store: c.store, record: c.record, listener: l, work: work, state: "ready", open: map[net.Conn]bool{}}
	go r.accept()
	r.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.beat()
		}
	}()
	return r, nil
}

// beat writes the entry of the replica to the store.
func (r *replica) beat() {
	r.mu.Lock()
	if r.silent {
		r.mu.Unlock()
		return
	}
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	body, _ := json.Marshal(entry)
	r.store.put("servers", r.id, body)
}

// leave removes the entry of the replica and returns the time of the acknowledgement.
// The replica serves on.
func (r *replica) leave() time.Time {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	return r.store.drop("servers", r.id)
}

func (r *replica) ran() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.open[conn] = true
		r.mu.Unlock()
		go func() {
			r.serve(conn)
			r.mu.Lock()
			delete(r.open, conn)
			r.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

// exit ends the replica: it accepts no channel any more and closes the open ones.
func (r *replica) exit() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		_ = conn.Close()
	}
}

func (r *replica) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.answer(conn, req, body) {
			return
		}
	}
}

// answer runs a request and answers it. It reports whether the channel is kept.
func (r *replica) answer(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + r.id + "\r\nKeep-Alive: timeout=10\r\n"
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	now := time.Now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, req.URL.Path, now})
	r.mu.Unlock()
	r.record.add("replica %s of service %s: runs %s %s %s tenant=%q", r.id, r.service, id, req.Method, req.URL.Path, req.Header.Get("X-Tenant"))
	time.Sleep(r.work)
	text := "ran at " + r.id + " " + strconv.Itoa(len(body))
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", head, sealOf(text), len(text), text)
	return err == nil
}
