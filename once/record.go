package once

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/sweep"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// rowPrefix is the prefix of the keys of all rows of this package.
const rowPrefix = "once/"

// Key identifies a call that must not be repeated.
type Key struct {
	Customer string
	Service  string
	// Key is the client's idempotency key.
	Key string
}

// row returns the key's row in the table, within its shard for the sweeper. All
// components are escaped, so that a customer's key can't refer to a row of
// another customer.
func (k Key) row() string {
	name := url.PathEscape(k.Customer) + "/" + url.PathEscape(k.Service) + "/" + url.PathEscape(k.Key)
	return sweep.Shard(rowPrefix, name) + name
}

// state is the state of a record.
type state string

const (
	// stateDispatched: the attempt may have been sent or may still be sent.
	stateDispatched state = "dispatched"
	// stateRan: the call took effect.
	stateRan state = "ran"
	// stateUnknown: the attempt was sent; whether it took effect is unknown.
	stateUnknown state = "unknown"
	// stateNotRun: the attempt was not executed and never will be.
	stateNotRun state = "not_run"
)

// record is the value of a row.
type record struct {
	State       state  `json:"state"`
	Attempt     string `json:"attempt"`
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Body is the hash of the call's body in hexadecimal.
	Body string `json:"body"`
	// Reply is set in stateRan, unless it was lost or is too large to store.
	Reply *endpoint.Reply `json:"reply,omitempty"`
	// Code and Message describe the failure of an attempt.
	Code    verdict.Code `json:"code,omitempty"`
	Message string       `json:"message,omitempty"`
}

func (r *record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return value, nil
}

func decode(row infra.Row) (*record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return &r, nil
}

func bodyHash(sum [32]byte) string { return hex.EncodeToString(sum[:]) }
