package once

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/sweep"
)

// NewSweeper returns the sweeper of all rows of this package. Rows are kept for
// at least ttl after their last change; 0 means the default of one day. The
// sweeper must run under a lease.
func NewSweeper(table infra.Table, ttl time.Duration, log *logrus.Entry) *sweep.Sweeper {
	return sweep.New(table, sweep.Options{Name: "once", Prefixes: sweep.Shards(rowPrefix), TTL: ttl, Log: log})
}
