package once

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// Defaults of Options.
const (
	defaultTableTimeout  = 2 * time.Second
	defaultSendTimeout   = 30 * time.Second
	defaultSendWindow    = 10 * time.Second
	defaultRecordWait    = 2 * time.Second
	defaultCloseTimeout  = 10 * time.Second
	defaultPollInterval  = 50 * time.Millisecond
	defaultRetryAfter    = 2 * time.Second
	defaultMaxReplyBytes = 64 << 10
	defaultMaxBackground = 1024
)

// Lookup queries a service for a call with the given key. If the service has
// executed it, Lookup returns the reply and true. It fails with
// endpoint.ErrNoLookup for services without lookup.
type Lookup func(ctx context.Context, key Key) (endpoint.Reply, bool, error)

// Options are the settings of a Store. Zero values take defaults.
type Options struct {
	// EntryID and Incarnation identify this process in the rows it owns.
	EntryID     string
	Incarnation string
	Log         *logrus.Entry
	// Alive reports whether a row's owner may still be running. If it is nil,
	// every other owner is treated as running.
	Alive func(owner, incarnation string) bool
	// Lookup resolves unknown outcomes. If it is nil, they stay unknown.
	Lookup Lookup
	// NewID returns a new attempt ID.
	NewID func() string
	// TableTimeout limits each table call.
	TableTimeout time.Duration
	// SendTimeout limits a send, which continues after its caller's context
	// has ended.
	SendTimeout time.Duration
	// SendWindow is the maximum age of an attempt at the start of its send.
	SendWindow time.Duration
	// RecordWait limits how long Do waits for the outcome of a send to be
	// recorded. The write continues in the background.
	RecordWait time.Duration
	// CloseTimeout limits how long Close waits for sends and writes.
	CloseTimeout time.Duration
	// PollInterval is the initial interval between reads of a row that another
	// attempt has claimed; it doubles up to maxPollInterval.
	PollInterval time.Duration
	// RetryAfter is the delay suggested to a client whose call is refused.
	RetryAfter time.Duration
	// MaxReplyBytes limits the reply body stored in a row.
	MaxReplyBytes int
	// MaxBackground limits the sends and writes that run in the background;
	// above it new calls are refused.
	MaxBackground int
}

func (o Options) withDefaults() Options {
	o.Log = nolog.Or(o.Log)
	if o.Alive == nil {
		o.Alive = func(string, string) bool { return true }
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	setDuration(&o.TableTimeout, defaultTableTimeout)
	setDuration(&o.SendTimeout, defaultSendTimeout)
	setDuration(&o.SendWindow, defaultSendWindow)
	setDuration(&o.RecordWait, defaultRecordWait)
	setDuration(&o.CloseTimeout, defaultCloseTimeout)
	setDuration(&o.PollInterval, defaultPollInterval)
	setDuration(&o.RetryAfter, defaultRetryAfter)
	if o.MaxReplyBytes <= 0 {
		o.MaxReplyBytes = defaultMaxReplyBytes
	}
	if o.MaxBackground <= 0 {
		o.MaxBackground = defaultMaxBackground
	}
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
