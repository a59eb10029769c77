// Package config holds the configuration that an operator sets: routes,
// services, customers with their keys, and the limits of client requests.
//
// A Configuration is immutable once it is compiled and may be read
// concurrently. A Holder holds the current one and never replaces it by an
// older version. Package app offers new versions; the gateway's packages read
// them.
package config
