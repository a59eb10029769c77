// Package e2e holds tests over separate processes: the built binary runs the
// stand-ins and several entry hosts on loopback addresses, and the tests
// drive, stop, kill and pause them.
package e2e
