package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// readyTimeout bounds the wait until a process serves. It is not a
	// limit that the tests check.
	readyTimeout = 30 * time.Second
	pollPeriod   = 20 * time.Millisecond
	exitTimeout  = 60 * time.Second
)

var binary struct {
	once sync.Once
	path string
	err  error
}

// buildBinary builds the binary on its first call and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary.once.Do(func() {
		dir, err := os.MkdirTemp("", "coltsfootcleat-e2e-")
		if err != nil {
			binary.err = err
			return
		}
		binary.path = filepath.Join(dir, "coltsfootcleat")
		out, err := exec.Command("go", "build", "-o", binary.path, "../cmd/coltsfootcleat").CombinedOutput()
		if err != nil {
			binary.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if binary.err != nil {
		t.Fatal(binary.err)
	}
	return binary.path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binary.path != "" {
		_ = os.RemoveAll(filepath.Dir(binary.path))
	}
	os.Exit(code)
}

// process is a running subcommand of the binary. Its output is logged if the
// test fails.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan error
	log  *safeBuffer
}

// safeBuffer collects the output of a process. It is safe for concurrent use.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// start runs the binary with args. The process is killed at the end of the
// test.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan error, 1), log: &safeBuffer{}}
	p.cmd = exec.Command(buildBinary(t), args...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	// Signals to the process group of the tests must not reach a process that is
	// paused.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.log.String())
		}
	})
	return p
}

// kill sends SIGKILL and waits for the process to end. The process may have
// ended before.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	p.done <- nil
}

// terminate sends SIGTERM and returns without waiting for the process to end.
func (p *process) terminate() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatalf("terminate %s: %v", p.name, err)
	}
}

// wait waits until the process exits with code 0, and fails the test otherwise
// or after exitTimeout.
func (p *process) wait() {
	p.t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		if err != nil {
			p.t.Fatalf("%s ended: %v", p.name, err)
		}
	case <-time.After(exitTimeout):
		p.t.Fatalf("%s did not end", p.name)
	}
}

// eventually calls f until it returns nil, and fails the test after
// readyTimeout.
func eventually(t *testing.T, what string, f func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

// waitReady waits until a GET of the URL returns 200.
func waitReady(t *testing.T, url string) {
	t.Helper()
	eventually(t, "wait for "+url, func() error {
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.New(resp.Status)
		}
		return nil
	})
}
