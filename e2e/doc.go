// Package e2e tests the built binary. Each test starts the stand-ins and
// several entry hosts as separate processes on loopback addresses, sends
// requests to the entries, and stops, kills or pauses processes meanwhile.
package e2e
