// Package settings defines, reads and checks the TOML settings file of an entry
// host. Load and Parse report every fault of a file with its line and key. The
// commands serve and check and the experiments use the package. An Entry is a
// plain value, which may be read concurrently.
package settings

import (
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Entry holds the settings of one entry host.
type Entry struct {
	// ID identifies the entry; it must be unique in the deployment.
	ID            string `toml:"id" validate:"required,name"`
	Deployment    string `toml:"deployment" validate:"required,name"`
	FailureDomain string `toml:"failure_domain" validate:"required,name"`
	Region        string `toml:"region"`
	Listen        Listen `toml:"listen"`
	// Platform locates the platform's services by a base URL of the form
	// "http://ip:port".
	Platform Platform `toml:"platform"`
	// OperatorKeySHA256 is the SHA-256 of the operators' key in lower-case hex.
	OperatorKeySHA256 string `toml:"operator_key_sha256" validate:"required,key_hash"`
	Log               Log    `toml:"log"`
	Limits            Limits `toml:"limits"`
	KV                KV     `toml:"kv"`
}

// KV describes the engines' KV caches, for decisions about moving them.
type KV struct {
	// BytesPerToken is the size of one token in a KV cache.
	BytesPerToken int64 `toml:"bytes_per_token" validate:"gt=0"`
	// Bandwidth is the rate at which a host can send, in bytes per second.
	Bandwidth float64 `toml:"bandwidth" validate:"gt=0,finite"`
}

// Listen holds the address of each listener as "ip:port".
type Listen struct {
	Caller   string `toml:"caller" validate:"required,ip_port"`
	Operator string `toml:"operator" validate:"required,ip_port"`
	Peer     string `toml:"peer" validate:"required,ip_port"`
}

// Platform locates the platform's services.
type Platform struct {
	URL     string            `toml:"url" validate:"required"`
	Timeout template.Duration `toml:"timeout" validate:"gt=0"`
	// WritesPerSecond is this entry's share of the table's write budget.
	WritesPerSecond float64 `toml:"writes_per_second" validate:"gt=0,finite"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string `toml:"level" validate:"oneof=debug info warning error"`
	// Format is "text" or "json".
	Format string `toml:"format" validate:"oneof=text json"`
}

// Limits bounds the size of request bodies and the time to read them.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `toml:"body_bytes" validate:"gt=0"`
	// BodyTimeout is the maximum time to read a request body.
	BodyTimeout template.Duration `toml:"body_timeout" validate:"gt=0"`
}
