package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxMessageBytes bounds one message.
	maxMessageBytes = 512 << 10
	// floodBytesPerSecond and floodBurstBytes bound the rate at which a peer
	// may send. Each message counts as at least messageCostBytes.
	floodBytesPerSecond = 1 << 20
	floodBurstBytes     = 4 << 20
	messageCostBytes    = 1 << 10
	// idleTimeout ends a connection on which nothing arrives. A state update is
	// due each second.
	idleTimeout = 5 * time.Second
	// callOnlyIdleTimeout replaces idleTimeout on a connection for calls.
	callOnlyIdleTimeout = 30 * time.Second
	// writeTimeout ends a connection whose peer doesn't read.
	writeTimeout = 2 * time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
)

// Errors of a connection whose peer violates the protocol.
var (
	errOversized = errors.New("message exceeds the size limit")
	errFlood     = errors.New("peer exceeds the rate limit")
	errMalformed = errors.New("message is malformed")
)

// Traffic counts the bytes and messages on the connections of a Mesh, without
// the headers of TCP and IP.
type Traffic struct {
	SentBytes, ReceivedBytes       uint64
	SentMessages, ReceivedMessages uint64
}

// traffic holds the counters of Traffic.
type traffic struct {
	sentBytes, receivedBytes       atomic.Uint64
	sentMessages, receivedMessages atomic.Uint64
}

func (t *traffic) load() Traffic {
	return Traffic{
		SentBytes:        t.sentBytes.Load(),
		ReceivedBytes:    t.receivedBytes.Load(),
		SentMessages:     t.sentMessages.Load(),
		ReceivedMessages: t.receivedMessages.Load(),
	}
}

// stream is a jsonrpc2.ObjectStream. Each message consists of its length as a
// varint and JSON text. Unlike the codecs of the library it bounds the size and
// rate of messages and the time to read and write them.
type stream struct {
	conn    net.Conn
	r       *bufio.Reader
	limiter *rate.Limiter
	traffic *traffic
	idle    time.Duration

	writeMu sync.Mutex

	mu      sync.Mutex
	readErr error
	// ended is closed after the first read error.
	ended chan struct{}
}

func newStream(conn net.Conn, idle time.Duration, t *traffic) *stream {
	return &stream{
		conn:    conn,
		idle:    idle,
		ended:   make(chan struct{}),
		r:       bufio.NewReaderSize(conn, readBufferBytes),
		limiter: rate.NewLimiter(floodBytesPerSecond, floodBurstBytes),
		traffic: t,
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return errOversized
	}
	frame := make([]byte, 0, binary.MaxVarintLen64+len(body))
	frame = binary.AppendUvarint(frame, uint64(len(body)))
	frame = append(frame, body...)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		return err
	}
	s.traffic.sentBytes.Add(uint64(len(frame)))
	s.traffic.sentMessages.Add(1)
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	err := s.read(v)
	if err != nil {
		s.fail(err)
	}
	return err
}

func (s *stream) read(v any) error {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
		return err
	}
	length, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return errOversized
	}
	if !s.limiter.AllowN(time.Now(), max(int(length), messageCostBytes)) {
		return errFlood
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(s.r, body); err != nil {
		return err
	}
	s.traffic.receivedBytes.Add(uint64(varintBytes(length)) + length)
	s.traffic.receivedMessages.Add(1)
	if err := unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// unmarshal decodes a message. It calls the UnmarshalJSON method of the
// library's types directly: that method validates the text itself, and
// json.Unmarshal would validate it a second time.
func unmarshal(body []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(body)
	}
	return json.Unmarshal(body, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// fail records the first read error.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr == nil {
		s.readErr = err
		close(s.ended)
	}
}

// failure returns the first read error.
func (s *stream) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readErr
}

func varintBytes(n uint64) int {
	var buf [binary.MaxVarintLen64]byte
	return binary.PutUvarint(buf[:], n)
}
