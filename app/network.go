package app

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network holds the functions that an entry uses to listen and dial. Tests
// replace them with those of an in-memory network.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the setup of a connection.
	dialTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an
	// unresponsive connection within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxUnacknowledged is how long sent bytes may remain without an
	// acknowledgement.
	maxUnacknowledged = 3 * time.Second
)

// TCP returns the TCP network of the host.
func TCP() Network {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacknowledged}
	listener := &net.ListenConfig{KeepAliveConfig: keepAlive}
	return Network{
		Listen: func(address string) (net.Listener, error) {
			return listener.Listen(context.Background(), "tcp", address)
		},
		Dial: dialer.DialContext,
	}
}

// limitUnacknowledged sets TCP_USER_TIMEOUT, so that the kernel closes a
// connection whose other side disappeared without closing it.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
