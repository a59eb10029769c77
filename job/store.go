package job

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Store records and updates the durable requests of one entry process. It is
// safe for concurrent use.
type Store struct {
	table   infra.Table
	objects infra.Objects
	opt     Options
	log     *logrus.Entry
	batch   *batcher

	cancel  context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// owned holds the unfinished requests of this process by ID.
	owned map[string]*ownedRequest
	// orphans are owned requests that no goroutine runs, such as one whose
	// accept took effect after its caller got verdict.MayHaveRun. The adopter
	// resumes them.
	orphans []Record
}

// ownedRequest is a request that this process owns.
type ownedRequest struct {
	mu sync.Mutex
	// record is the last value written, and version the version of its row.
	record  Record
	version uint64
}

func (o *ownedRequest) get() (Record, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record, o.version
}

func (o *ownedRequest) set(r Record, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record, o.version = r, version
}

// New returns a Store. Close must be called.
func New(table infra.Table, objects infra.Objects, options Options) *Store {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		table:   table,
		objects: objects,
		opt:     options,
		log:     options.Log,
		batch:   newBatcher(table, options),
		cancel:  cancel,
		owned:   make(map[string]*ownedRequest),
	}
	s.running.Go(func() { s.batch.run(ctx) })
	return s
}

// Close stops the batcher. Queued writes fail with verdict.NotRun.
func (s *Store) Close() {
	s.cancel()
	s.running.Wait()
}

// Accept records the request. If Accept returns without an error, the request
// is durable and owned by this process. Accept generates an ID if r has none.
//
// If an earlier request of the customer had the same idempotency key, r is set
// to the record of that request with Joined set. If the earlier request had a
// different body, Accept fails with verdict.CodeKeyReused.
func (s *Store) Accept(ctx context.Context, r *Record) error {
	if r.ID == "" {
		r.ID = s.opt.NewID()
	}
	r.Owner, r.OwnerIncarnation = s.opt.Owner, s.opt.Incarnation
	r.Fence, r.State = 1, StateAccepted
	prompt, err := s.storePrompt(ctx, r)
	if err != nil {
		return err
	}
	accepted := *r
	o := &op{
		rows:     []string{accepted.row()},
		priority: infra.PriorityAccept,
		build:    func() ([]infra.Write, error) { return acceptWrites(&accepted, prompt) },
		applied: func(version uint64, late bool) {
			s.addOwned(accepted, version, late)
		},
	}
	if r.IdempotencyKey != "" {
		o.rows = append(o.rows, accepted.keyRow())
	}
	err = s.batch.do(ctx, o)
	s.discardIfNotRun(ctx, err, Text{Object: accepted.PromptObject})
	if r.IdempotencyKey != "" && conflictOn(err, accepted.keyRow()) {
		return s.joinFirst(ctx, r)
	}
	return err
}

// acceptWrites returns the writes that create the rows of a request.
func acceptWrites(r *Record, prompt []byte) ([]infra.Write, error) {
	value, err := encode(r)
	if err != nil {
		return nil, err
	}
	writes := []infra.Write{
		{Key: r.row(), Value: value, Expect: infra.ExpectAbsent},
		{Key: r.ownerRow(), Expect: infra.ExpectAbsent},
	}
	if r.PromptObject == "" {
		writes = append(writes, infra.Write{Key: r.requestRow(), Value: prompt, Expect: infra.ExpectAbsent})
	}
	if r.IdempotencyKey != "" {
		first := infra.Write{Key: r.keyRow(), Value: []byte(r.ID), Expect: infra.ExpectAbsent}
		writes = append(writes, first)
	}
	return writes, nil
}

// addOwned registers the request as owned by this process. If late is set, its
// caller no longer waits, and the request is passed to the adopter.
func (s *Store) addOwned(r Record, version uint64, late bool) {
	s.mu.Lock()
	s.owned[r.ID] = &ownedRequest{record: r, version: version}
	s.mu.Unlock()
	if late {
		s.addOrphan(r)
	}
}

// addOrphan passes an owned request to the adopter, which resumes it.
func (s *Store) addOrphan(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orphans = append(s.orphans, r)
}

// takeOrphans removes and returns all orphans.
func (s *Store) takeOrphans() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	orphans := s.orphans
	s.orphans = nil
	return orphans
}

// joinFirst replaces r by the first request with its idempotency key.
func (s *Store) joinFirst(ctx context.Context, r *Record) error {
	row, ok, err := s.read(ctx, r.keyRow())
	if err != nil {
		return err
	}
	if !ok {
		// The first request was swept after the conflict.
		expired := verdict.New(verdict.NotRun, verdict.CodeConflict, "job: idempotency key has expired")
		return expired.WithRetryAfter(s.opt.RetryAfter)
	}
	first, err := s.Get(ctx, r.Customer, string(row.Value))
	if err != nil {
		return err
	}
	if first.BodyHash != r.BodyHash {
		return verdict.New(verdict.NotRun, verdict.CodeKeyReused, "job: key was used with another body")
	}
	*r = first
	r.Joined = true
	return nil
}

// Get returns a customer's request with its answer or checkpoint text. It fails
// with verdict.CodeNotFound if the customer has no request with the ID.
func (s *Store) Get(ctx context.Context, customer, id string) (Record, error) {
	for tries := 1; ; tries++ {
		r, _, err := s.load(ctx, customer, id)
		if err != nil {
			return Record{}, err
		}
		err = s.fetchTexts(ctx, &r)
		if errors.Is(err, errTextNotFound) && tries < maxGetTries {
			// A newer text has replaced it: read the row again.
			continue
		}
		return r, err
	}
}

// maxGetTries limits how often Get reads the row again because its text was
// replaced and deleted.
const maxGetTries = 4

// load reads a request's row and returns its record and version.
func (s *Store) load(ctx context.Context, customer, id string) (Record, uint64, error) {
	row, ok, err := s.read(ctx, jobRow(customer, id))
	if err != nil {
		return Record{}, 0, err
	}
	if !ok {
		return Record{}, 0, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "job: no such request")
	}
	var r Record
	if err := decode(row.Value, &r); err != nil {
		return Record{}, 0, err
	}
	invariant.Check(r.Customer == customer && r.ID == id, invariant.AnswerOwner,
		"request %s of one customer read as %s of another", r.ID, id)
	return r, row.Version, nil
}

func (s *Store) read(ctx context.Context, row string) (infra.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
	defer cancel()
	got, ok, err := s.table.Get(ctx, row)
	if err != nil {
		// The read has no effect, but the request that it refers to may have
		// run.
		return infra.Row{}, false, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("job: read: %w", err))
	}
	return got, ok, nil
}

func (s *Store) scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
	defer cancel()
	return s.table.Scan(ctx, prefix)
}

// conflictOn reports whether err is a conflict on the row.
func conflictOn(err error, row string) bool {
	changed, ok := infra.ConflictKey(err)
	return ok && changed == row
}
