package gateway

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// memoryBytes bounds what an entry holds of all bodies and events together.
	memoryBytes = 64 << 20
	// customerMemoryBytes is the part of it that one customer's requests may take.
	customerMemoryBytes = memoryBytes / 2
	// freeBytes is what each request may hold in addition, so that short ones go on
	// while the memory is full.
	freeBytes = 16 << 10
)

// errMemoryFull is the error of a request that would exceed the memory for bodies
// and events.
var errMemoryFull = errors.New("memory for bodies and events is full")

// memory bounds the bytes that the requests in progress hold together. It is safe
// for concurrent use.
type memory struct {
	mu         sync.Mutex
	taken      int64
	byCustomer map[string]int64
}

func newMemory() *memory { return &memory{byCustomer: make(map[string]int64)} }

// take reserves n bytes for a customer, and reports whether there were enough.
func (m *memory) take(customer string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.taken+n > memoryBytes || m.byCustomer[customer]+n > customerMemoryBytes {
		return false
	}
	m.taken += n
	m.byCustomer[customer] += n
	return true
}

// release returns n bytes of a customer.
func (m *memory) release(customer string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken -= n
	if m.byCustomer[customer] -= n; m.byCustomer[customer] <= 0 {
		delete(m.byCustomer, customer)
	}
}

// holding is the memory that one request holds. One goroutine at a time uses it.
type holding struct {
	memory   *memory
	customer string
	// held is the number of bytes that the request holds, taken that of those
	// reserved.
	held, taken int64
}

// add adds n bytes, and fails with errMemoryFull if there aren't enough.
func (h *holding) add(n int64) error {
	if more := h.held + n - freeBytes - h.taken; more > 0 {
		if !h.memory.take(h.customer, more) {
			return errMemoryFull
		}
		h.taken += more
	}
	h.held += n
	return nil
}

// release returns all bytes.
func (h *holding) release() {
	if h.taken > 0 {
		h.memory.release(h.customer, h.taken)
	}
	h.held, h.taken = 0, 0
}

// reader returns a reader that adds what is read from r.
func (h *holding) reader(r io.Reader) io.Reader { return &heldReader{r, h} }

type heldReader struct {
	from    io.Reader
	holding *holding
}

// readAll reads a body and adds it. length is that of the body, negative if it is
// unknown. A body of known length is added before it is read, so that one for
// which there isn't enough memory takes none from others.
func (h *holding) readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(h.reader(r))
	}
	if err := h.add(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// The reader may still report that the body is invalid.
	if n, err := r.Read(make([]byte, 1)); n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("body has not ended after %d bytes: %w", length, err)
	}
	return body, nil
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if addErr := r.holding.add(int64(n)); addErr != nil {
		return 0, addErr
	}
	return n, err
}
