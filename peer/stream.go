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
	// floodBytesPerSecond and floodBurstBytes bound what a peer may send; each
	// message counts as messageCostBytes at least.
	floodBytesPerSecond = 1 << 20
	floodBurstBytes     = 4 << 20
	messageCostBytes    = 1 << 10
	// idleTimeout ends a connection on which nothing arrives. A digest is
	// due each second.
	idleTimeout = 5 * time.Second
	// onceTimeout takes its place on a connection for single calls.
	onceTimeout = 30 * time.Second
	// writeTimeout ends a connection whose other side doesn't read.
	writeTimeout = 2 * time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
)

// Errors of a connection whose other side breaks the protocol.
var (
	errOversized = errors.New("message exceeds the size limit")
	errFlood     = errors.New("peer exceeds the rate limit")
	errGarbage   = errors.New("message is malformed")
)

// Traffic counts what went over the connections of a Mesh, without the
// headers of TCP and IP.
type Traffic struct {
	SentBytes, ReceivedBytes       uint64
	SentMessages, ReceivedMessages uint64
}

// traffic is the running count behind Traffic.
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

// stream is a jsonrpc2.ObjectStream: each message is its length as a varint
// and JSON text. It bounds size, rate and time, which the codecs of the
// library leave open.
type stream struct {
	conn    net.Conn
	r       *bufio.Reader
	limiter *rate.Limiter
	traffic *traffic
	idle    time.Duration

	sending sync.Mutex

	mu     sync.Mutex
	broken error
	// ended is closed when the reading side has failed.
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
	s.sending.Lock()
	defer s.sending.Unlock()
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
		return fmt.Errorf("%w: %w", errGarbage, err)
	}
	return nil
}

// unmarshal decodes a message. Those of the library check their text
// themselves, so that it need not be read once more before.
func unmarshal(body []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(body)
	}
	return json.Unmarshal(body, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// fail keeps the first error of the reading side.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = err
		close(s.ended)
	}
}

// failure returns the first error of the reading side.
func (s *stream) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

func varintBytes(n uint64) int {
	var buf [binary.MaxVarintLen64]byte
	return binary.PutUvarint(buf[:], n)
}
