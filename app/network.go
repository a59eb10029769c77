package app

import (
	"context"
	"net"
	"time"
)

// Network is how an entry reaches others and is reached. Tests put an
// in-memory network in its place.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout bounds the set-up of a connection.
const dialTimeout = 2 * time.Second

// TCP returns the network of the host.
func TCP() Network {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   dialer.DialContext,
	}
}
