// Package check examines a configuration before it is sent: faults, parts that
// can never take effect, limits that contradict each other, and the differences
// from the configuration in force.
//
// All functions are pure. They are made for one run by an operator at the size
// of a configuration (hundreds of routes, services and customers), not for the
// request path. API keys occur in findings and differences only as short hashes.
package check
