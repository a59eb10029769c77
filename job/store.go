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

// Store keeps the durable requests of one entry process. It is safe for
// concurrent use.
type Store struct {
	table   infra.Table
	objects infra.Objects
	opt     Options
	log     *logrus.Entry
	batch   *batcher

	cancel  context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// owned are the unfinished requests of this process by ID.
	owned map[string]*handle
	// orphans are requests that became this process's own after their caller
	// was told that it is not known.
	orphans []Record
}

// handle is a request that this process owns.
type handle struct {
	mu sync.Mutex
	// record is as last written, at this version of its row.
	record  Record
	version uint64
}

func (h *handle) get() (Record, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record, h.version
}

func (h *handle) set(r Record, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record, h.version = r, version
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
		owned:   make(map[string]*handle),
	}
	s.running.Go(func() { s.batch.run(ctx) })
	return s
}

// Close refuses what is not written yet and ends.
func (s *Store) Close() {
	s.cancel()
	s.running.Wait()
}

// Accept records the request. It is durable, and this process's own, once
// Accept has returned without an error. An ID is drawn where r has none.
//
// When an earlier request of the customer had the same idempotency key, r
// becomes that request's record, with Joined set; where its body was another,
// Accept fails with verdict.CodeKeyReused.
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
			s.own(accepted, version, late)
		},
	}
	if r.IdempotencyKey != "" {
		o.rows = append(o.rows, accepted.keyRow())
	}
	err = s.batch.do(ctx, o)
	s.discardUnless(ctx, err, Text{Object: accepted.PromptObject})
	if r.IdempotencyKey != "" && conflictOn(err, accepted.keyRow()) {
		return s.join(ctx, r)
	}
	return err
}

func acceptWrites(r *Record, prompt []byte) ([]infra.Write, error) {
	value, err := encode(r)
	if err != nil {
		return nil, err
	}
	writes := []infra.Write{
		{Key: r.row(), Value: value, Expect: infra.ExpectAbsent},
		{Key: r.ownRow(), Expect: infra.ExpectAbsent},
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

// own makes the request this process's own. A late one has nobody who runs
// it, and goes to the adopter.
func (s *Store) own(r Record, version uint64, late bool) {
	s.mu.Lock()
	s.owned[r.ID] = &handle{record: r, version: version}
	s.mu.Unlock()
	if late {
		s.orphan(r)
	}
}

// orphan hands an owned request to the adopter.
func (s *Store) orphan(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orphans = append(s.orphans, r)
}

func (s *Store) takeOrphans() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	orphans := s.orphans
	s.orphans = nil
	return orphans
}

// join replaces r by the request that came first under its key.
func (s *Store) join(ctx context.Context, r *Record) error {
	row, ok, err := s.read(ctx, r.keyRow())
	if err != nil {
		return err
	}
	if !ok {
		// The first request was swept just now.
		gone := verdict.New(verdict.NotRun, verdict.CodeConflict, "job: key expired meanwhile")
		return gone.WithRetryAfter(s.opt.RetryAfter)
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

// Get returns a customer's request, with its answer or checkpoint text. An
// unknown ID, or another customer's, fails with verdict.CodeNotFound.
func (s *Store) Get(ctx context.Context, customer, id string) (Record, error) {
	for tries := 1; ; tries++ {
		r, _, err := s.load(ctx, customer, id)
		if err != nil {
			return Record{}, err
		}
		err = s.fetchTexts(ctx, &r)
		if errors.Is(err, errTextGone) && tries < maxGetTries {
			// A newer text has taken its place: the row says which.
			continue
		}
		return r, err
	}
}

// maxGetTries bounds how often Get runs after texts that are being replaced.
const maxGetTries = 4

// load reads a request's row and its version.
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
		// A read has no effect, but the request it is about may have run.
		return infra.Row{}, false, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("job: read: %w", err))
	}
	return got, ok, nil
}

func (s *Store) scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
	defer cancel()
	return s.table.Scan(ctx, prefix)
}

func conflictOn(err error, row string) bool {
	changed, ok := infra.ConflictKey(err)
	return ok && changed == row
}
