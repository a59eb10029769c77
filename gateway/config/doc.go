// Package config holds the configuration that an operator puts in force:
// routes, services, customers with their keys, and the limits of connections.
//
// A Configuration is immutable. A Holder keeps the newest one and never goes
// back to an older version.
package config
