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
	defaultAttempts    = 4
	defaultRetryDelay  = 100 * time.Millisecond
)

// StoreOptions configures a Store. The zero value selects the defaults.
type StoreOptions struct {
	// CallTimeout bounds each call to the table; the default is 1 s.
	CallTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of a write that fails or
	// whose answer is lost, 4 by default, and RetryDelay is the delay between
	// two attempts, 100 ms by default.
	MaxAttempts int
	RetryDelay  time.Duration
	// NewID returns a unique identifier.
	NewID func() string
	// Now returns the time for the informational time stamps of records.
	Now func() time.Time
}

// Store reads and writes templates in the table. It is safe for concurrent use,
// also by several hosts at once.
type Store struct {
	table infra.Table
	opts  StoreOptions
}

// NewStore returns a Store that uses table.
func NewStore(table infra.Table, opts StoreOptions) *Store {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.MaxAttempts <= 0 {
		opts.MaxAttempts = defaultAttempts
	}
	if opts.RetryDelay <= 0 {
		opts.RetryDelay = defaultRetryDelay
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Store{table: table, opts: opts}
}

// Head returns the head of a template. Its Version is 0 if no version of the
// template has been approved.
func (s *Store) Head(ctx context.Context, name string) (Head, error) {
	head, _, err := s.head(ctx, name)
	return head, err
}

// head returns the head of a template and the version of its row, which is
// infra.ExpectAbsent if there is no such row.
func (s *Store) head(ctx context.Context, name string) (Head, uint64, error) {
	head := Head{Name: name}
	row, ok, err := s.get(ctx, headKey(name))
	if err != nil || !ok {
		return head, infra.ExpectAbsent, err
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, 0, corruptRow(row.Key, err)
	}
	return head, row.Version, nil
}

// Get returns a version of a template. Version 0 selects the version in force.
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
		return nil, corruptRow(row.Key, err)
	}
	return t, nil
}

// List returns the heads of all templates, sorted by name.
func (s *Store) List(ctx context.Context) ([]Head, error) {
	return scan[Head](ctx, s, headPrefix)
}

// History returns the history entry of each version, oldest first.
func (s *Store) History(ctx context.Context, name string) ([]HistoryEntry, error) {
	return scan[HistoryEntry](ctx, s, historyPrefix+name+"/")
}

// Drafts returns the edits that have not been approved.
func (s *Store) Drafts(ctx context.Context, name string) ([]Draft, error) {
	return scan[Draft](ctx, s, draftPrefix+name+"/")
}

// Draft returns one edit that has not been approved.
func (s *Store) Draft(ctx context.Context, name, id string) (Draft, error) {
	d, _, err := s.draft(ctx, name, id)
	return d, err
}

// draft returns a draft and the version of its row.
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
		return Draft{}, 0, corruptRow(row.Key, err)
	}
	return d, row.Version, nil
}

// get reads a row within the call timeout. A read changes nothing, so its
// failures have the verdict NotRun.
func (s *Store) get(ctx context.Context, key string) (infra.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	row, ok, err := s.table.Get(ctx, key)
	if err != nil {
		return row, false, readError(err)
	}
	return row, ok, nil
}

func scan[T any](ctx context.Context, s *Store, prefix string) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	rows, err := s.table.Scan(ctx, prefix)
	if err != nil {
		return nil, readError(err)
	}
	out := make([]T, 0, len(rows))
	for _, row := range rows {
		var v T
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return nil, corruptRow(row.Key, err)
		}
		out = append(out, v)
	}
	return out, nil
}

func readError(err error) error {
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Code:       verdict.CodeUnavailable,
		RetryAfter: verdict.RetryAfterOf(err),
		Err:        fmt.Errorf("template: read: %w", err),
	}
}

func corruptRow(key string, err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeInternal, "row %q: %w", key, err)
}

func checkName(name string) error {
	if name == "" || strings.Contains(name, "/") {
		return invalid("template name %q is not valid", name)
	}
	return nil
}
