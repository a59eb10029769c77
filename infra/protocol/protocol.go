// Package protocol holds the JSON bodies of the platform's HTTP interface,
// which infra/standin serves and infra/rest calls.
package protocol

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// RowAnswer is the JSON answer to a read of one row.
type RowAnswer struct {
	Row   infra.Row `json:"row"`
	Found bool      `json:"found"`
}

// ScanAnswer is the JSON answer to a scan.
type ScanAnswer struct {
	Rows []infra.Row `json:"rows"`
}

// CommitBody is the JSON body of a commit.
type CommitBody struct {
	Writes []infra.Write `json:"writes"`
}

// CommitAnswer is the JSON answer to a commit.
type CommitAnswer struct {
	Version uint64 `json:"version"`
}

// ObjectAnswer is the JSON answer to a read of an object.
type ObjectAnswer struct {
	Body  []byte `json:"body"`
	Found bool   `json:"found"`
}

// ReserveAnswer is the JSON answer to a reservation of a weight load.
type ReserveAnswer struct {
	// Wait is the delay after which the load may start.
	Wait time.Duration `json:"wait_ns"`
}
