package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slots is the number of requests that a replica runs at once.
	slots = 64
	// grace is grace_s, contact is contact_ms and leaseLength is lease_ms.
	grace       = 8 * time.Second
	contact     = 3 * time.Second
	leaseLength = 3 * time.Second
)

var zones = []string{"midrand", "centurion", "kempton"}

// world is a deployment: real entry processes between stand-ins.
type world struct {
	began   time.Time
	dir     string
	binary  string
	octet   int
	store   *store
	cloud   *cloud
	entries []*entry
	// closed keeps processes from being started any more.
	closed  atomic.Bool
	closers []func()

	mu     sync.Mutex
	record *os.File
	number int
	// added holds the routes that were added to the configuration. It is used by
	// the goroutine of the case only.
	added []json.RawMessage
	// version is the last version of the configuration.
	version int
	// configuredAt is when it was last written.
	configuredAt time.Time
	// ran holds the requests that a replica ran, cut those of them whose channel
	// ended without a complete answer beside a change of the configuration, and
	// cutElsewhere the number of those that were cut at other times.
	ran          map[string]bool
	cut          []string
	cutElsewhere int
}

func newWorld(binary, record, dir string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), dir: dir, binary: binary, record: f, store: newStore(), ran: make(map[string]bool)}
	w.cloud = newCloud(w)
	for w.octet = 1 + os.Getpid()%200; !free(w.ip(10)+":9464") || !free(w.ip(1)+":8361"); w.octet++ {
		if w.octet > 250 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
	}
	for port, h := range map[string]http.Handler{"8361": w.store, "8362": w.cloud} {
		l, err := net.Listen("tcp", w.ip(1)+":"+port)
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: h}
		go func() { _ = s.Serve(l) }()
		w.closers = append(w.closers, func() { _ = s.Close() })
	}
	return w, nil
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err == nil {
		_ = l.Close()
	}
	return err == nil
}

func (w *world) ip(last int) string { return fmt.Sprintf("127.83.%d.%d", w.octet, last) }

func (w *world) next() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	return w.number
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	w.closed.Store(true)
	for _, e := range w.entries {
		e.end()
	}
	w.mu.Lock()
	closers := w.closers
	w.mu.Unlock()
	for _, f := range closers {
		f()
	}
	_ = w.record.Close()
}

// inTouch reports whether the machine of a name is in touch now.
func (w *world) inTouch(name string) bool {
	for _, e := range w.entries {
		if e.name == name {
			return e.inTouch()
		}
	}
	return false
}

// entry is one machine of the system with its process.
type entry struct {
	w          *world
	name, zone string
	ip         string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
	termAt  time.Time
	ready   bool
	misses  int
	// killedAt holds when the platform killed the process for its memory.
	killedAt []time.Time
}

func (w *world) addEntry(number int) *entry {
	zone := zones[number%len(zones)]
	e := &entry{w: w, name: fmt.Sprintf("front-%s-%d", zone, 1+number/len(zones)), zone: zone, ip: w.ip(10 + number)}
	w.entries = append(w.entries, e)
	return e
}

func (e *entry) settings() string {
	return fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "gauteng"
internal_ports = [7500,7515]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
midrand = "gauteng"
centurion = "gauteng"
kempton = "gauteng"
[listen]
front = "%[2]s:8360"
ready = "%[2]s:8365"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 52
quota_window_s = 8
quota_overage = 0.1
quota_slack = 140000
require_fencing = true
lease_ms = 3000
usage_window_s = 5
usage_tolerance = 0.05
usage_late_s = 10
[platform]
address = "%[4]s:8361"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 4.0
[cloud]
address = "%[4]s:8362"
rate_per_s = 50.0
duties = ["usage_report","autoscale"]
duty_per_s = 50.0
`, e.name, e.ip, e.zone, e.w.ip(1))
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	path := filepath.Join(e.w.dir, e.name+".toml")
	if err := os.WriteFile(path, []byte(e.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(e.w.binary, "serve", "-platform")
	cmd.Env = append(os.Environ(), "COLTSFOOTCLEAT_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = log, log
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.w.closed.Load() {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.cmd, e.exited, e.started = cmd, exited, time.Now()
	e.w.note("process %s starts", e.name)
	go func() {
		_ = cmd.Wait()
		e.w.note("process %s has ended", e.name)
		close(exited)
	}()
	return nil
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after
// grace_s.
func (e *entry) terminate() {
	e.mu.Lock()
	e.termAt = time.Now()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	e.w.note("process %s gets SIGTERM", e.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// end ends the process if it still runs.
func (e *entry) end() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// inTouch reports whether the entry is in touch now: for contact_ms, its process
// has run without a start or a SIGTERM.
func (e *entry) inTouch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.started) > contact && (e.termAt.IsZero() || time.Since(e.termAt) > contact)
}

// probe asks for readiness once a second, as the balancer does.
func (e *entry) probe(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + e.ip + ":8365/api/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		e.mu.Lock()
		if ok {
			e.ready, e.misses = true, 0
		} else if e.misses++; e.misses >= 2 {
			e.ready = false
		}
		e.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (e *entry) isReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready
}

// request is a client's request of a stream.
type request struct {
	id, path, key string
	events        int
	deadline      time.Duration
}

// send sends a request on a new channel and reads its answer.
func (e *entry) send(r request) {
	sent := time.Now()
	e.w.note("send    %s to %s, %d events", r.id, e.name, r.events)
	body := strings.Repeat("x", 2000)
	conn, err := net.DialTimeout("tcp", e.ip+":8360", time.Second)
	if err != nil {
		e.w.note("answer  %s: no channel", r.id)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.deadline))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nAuthorization: Token %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\n"+
		"X-Token-Usage: 400,%d\r\nX-Prompt-Prefix: 5c1e07a2:200,%s:200\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.path, r.key, r.id, r.events*eventTokens, r.id, r.deadline.Milliseconds(), len(body), body)
	if err != nil {
		e.w.note("answer  %s: cut while it was sent", r.id)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		e.w.note("answer  %s: none, %v", r.id, err)
		e.w.noteCut(r, sent, e.name, "no answer")
		return
	}
	text, err := io.ReadAll(resp.Body)
	complete := "complete"
	if err != nil {
		complete = "cut"
		e.w.noteCut(r, sent, e.name, "an incomplete answer")
	}
	e.w.note("answer  %s: %d, %d events, %s", r.id, resp.StatusCode, strings.Count(string(text), "id: "), complete)
}
