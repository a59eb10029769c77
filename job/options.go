package job

import (
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// Defaults of Options.
const (
	defaultTableTimeout    = 2 * time.Second
	defaultResolveTimeout  = 5 * time.Second
	defaultResolveInterval = 500 * time.Millisecond
	defaultLinger          = 2 * time.Millisecond
	defaultBatchInterval   = 40 * time.Millisecond
	defaultCheckpointHold  = 400 * time.Millisecond
	defaultRetryAfter      = 2 * time.Second
	defaultMaxBatch        = 256
	defaultMaxQueue        = 8192
	defaultInlineBytes     = 16 << 10
)

// Options are the settings of a Store. Zero values take defaults.
type Options struct {
	// Owner and Incarnation identify this process; each start of an entry has
	// a new incarnation.
	Owner       string
	Incarnation string
	Log         *logrus.Entry
	// NewID returns the ID of a request whose record has none, and the last
	// component of object names.
	NewID func() string
	// TableTimeout limits each table call.
	TableTimeout time.Duration
	// ResolveTimeout limits how long a write whose reply was lost is retried
	// before its caller gets verdict.MayHaveRun.
	ResolveTimeout time.Duration
	// ResolveInterval is the interval at which an unresolved write is checked
	// after ResolveTimeout.
	ResolveInterval time.Duration
	// Linger is the time for which the first write of a batch waits for more
	// writes.
	Linger time.Duration
	// BatchInterval is the minimum time between the starts of two batches.
	BatchInterval time.Duration
	// CheckpointHold limits how long a checkpoint waits for a write of higher
	// priority whose commit it can share.
	CheckpointHold time.Duration
	// RetryAfter is the delay suggested to a client whose request is refused.
	RetryAfter time.Duration
	// MaxBatch limits the operations in a commit, MaxQueue those that are
	// queued.
	MaxBatch, MaxQueue int
	// InlineBytes is the size above which a text is put in the object store.
	InlineBytes int
}

func (o Options) withDefaults() Options {
	o.Log = nolog.Or(o.Log)
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	setDefault(&o.TableTimeout, defaultTableTimeout)
	setDefault(&o.ResolveTimeout, defaultResolveTimeout)
	setDefault(&o.ResolveInterval, defaultResolveInterval)
	setDefault(&o.Linger, defaultLinger)
	setDefault(&o.BatchInterval, defaultBatchInterval)
	setDefault(&o.CheckpointHold, defaultCheckpointHold)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	setDefault(&o.MaxBatch, defaultMaxBatch)
	setDefault(&o.MaxQueue, defaultMaxQueue)
	setDefault(&o.InlineBytes, defaultInlineBytes)
	return o
}

func setDefault[T ~int | ~int64](value *T, to T) {
	if *value <= 0 {
		*value = to
	}
}
