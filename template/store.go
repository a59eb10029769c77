package template

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Defaults of StoreOptions.
const (
	defaultCallTimeout = time.Second
	defaultTries       = 4
	defaultPause       = 100 * time.Millisecond
)

// StoreOptions tune a Store. The zero value takes the defaults.
type StoreOptions struct {
	// CallTimeout bounds each call to the table; 1 s by default.
	CallTimeout time.Duration
	// Tries is how often a write whose answer was lost is tried in all, 4 by
	// default, and Pause the wait between two tries, 100 ms by default.
	Tries int
	Pause time.Duration
	// NewID returns an identifier that no other call ever gets.
	NewID func() string
	// Now dates records for people to read.
	Now func() time.Time
}

// Store keeps templates in the table. It is safe for concurrent use, also by
// many hosts at once.
type Store struct {
	table infra.Table
	opts  StoreOptions
}

// NewStore returns a Store over table.
func NewStore(table infra.Table, opts StoreOptions) *Store {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.Tries <= 0 {
		opts.Tries = defaultTries
	}
	if opts.Pause <= 0 {
		opts.Pause = defaultPause
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Store{table: table, opts: opts}
}

// Head returns the head of a template. A template without an approved version
// has Version 0.
func (s *Store) Head(ctx context.Context, name string) (Head, error) {
	head, _, err := s.head(ctx, name)
	return head, err
}

func (s *Store) head(ctx context.Context, name string) (Head, uint64, error) {
	head := Head{Name: name}
	row, ok, err := s.get(ctx, headKey(name))
	if err != nil || !ok {
		return head, infra.ExpectAbsent, err
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, 0, corrupt(row.Key, err)
	}
	return head, row.Version, nil
}

// Get returns a version of a template. Version 0 means the one in force.
func (s *Store) Get(ctx context.Context, name string, version uint64) (*Template, error) {
	if version == 0 {
		head, err := s.Head(ctx, name)
		if err != nil {
			return nil, err
		}
		version = head.Version
	}
	row, ok, err := s.get(ctx, bodyKey(name, version))
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, notFound("template %s has no version %d", name, version)
	}
	t, err := Decode(row.Value)
	if err != nil {
		return nil, corrupt(row.Key, err)
	}
	return t, nil
}

// List returns the heads of all templates, by name.
func (s *Store) List(ctx context.Context) ([]Head, error) {
	return scan[Head](ctx, s, headPrefix)
}

// History returns where each version came from, oldest first.
func (s *Store) History(ctx context.Context, name string) ([]HistoryEntry, error) {
	return scan[HistoryEntry](ctx, s, entryPrefix+name+"/")
}

// Drafts returns the edits that were not approved.
func (s *Store) Drafts(ctx context.Context, name string) ([]Draft, error) {
	return scan[Draft](ctx, s, draftPrefix+name+"/")
}

// Draft returns one edit that was not approved.
func (s *Store) Draft(ctx context.Context, name, id string) (Draft, error) {
	d, _, err := s.draft(ctx, name, id)
	return d, err
}

func (s *Store) draft(ctx context.Context, name, id string) (Draft, uint64, error) {
	row, ok, err := s.get(ctx, draftKey(name, id))
	if err != nil {
		return Draft{}, 0, err
	}
	if !ok {
		return Draft{}, 0, notFound("template %s has no draft %s", name, id)
	}
	var d Draft
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return Draft{}, 0, corrupt(row.Key, err)
	}
	return d, row.Version, nil
}

// get reads a row within the call timeout. Reads change nothing, so that their
// failures are verdict.NotRun.
func (s *Store) get(ctx context.Context, key string) (infra.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	row, ok, err := s.table.Get(ctx, key)
	if err != nil {
		return row, false, unread(err)
	}
	return row, ok, nil
}

func scan[T any](ctx context.Context, s *Store, prefix string) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	rows, err := s.table.Scan(ctx, prefix)
	if err != nil {
		return nil, unread(err)
	}
	out := make([]T, 0, len(rows))
	for _, row := range rows {
		var v T
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return nil, corrupt(row.Key, err)
		}
		out = append(out, v)
	}
	return out, nil
}

func unread(err error) error {
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Code:       verdict.CodeUnavailable,
		RetryAfter: verdict.RetryAfterOf(err),
		Err:        fmt.Errorf("template: read: %w", err),
	}
}

func corrupt(key string, err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeInternal, "row %q: %w", key, err)
}

func checkName(name string) error {
	if name == "" || strings.Contains(name, "/") {
		return invalid("template name %q is not valid", name)
	}
	return nil
}
