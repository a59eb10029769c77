package app

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network is how an entry reaches others and is reached. Tests put an
// in-memory network in its place.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection
	// that went silent within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unacknowledged is how long sent bytes may stay without an
	// acknowledgement.
	unacknowledged = 3 * time.Second
)

// TCP returns the network of the host.
func TCP() Network {
	alive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: alive, Control: limitUnacknowledged}
	listener := &net.ListenConfig{KeepAliveConfig: alive}
	return Network{
		Listen: func(address string) (net.Listener, error) {
			return listener.Listen(context.Background(), "tcp", address)
		},
		Dial: dialer.DialContext,
	}
}

// limitUnacknowledged has the kernel give up a connection whose other side is
// gone without a word.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
