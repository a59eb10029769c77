package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	rowPrefix = "member/"
	// callTimeout bounds each call to the table.
	callTimeout = 2 * time.Second
)

// ErrReplaced is returned by Run and Leave when another incarnation has taken
// over this entry's ID.
var ErrReplaced = errors.New("another incarnation has taken over the member's ID")

// row is the value of a heartbeat row.
type row struct {
	Member
	// Beat increases with each heartbeat, so that each heartbeat changes the
	// row.
	Beat uint64 `json:"beat"`
	// TableEpoch is the epoch of the table in which the row was written. The row
	// of a restored table may be of an earlier one.
	TableEpoch uint64 `json:"table_epoch,omitempty"`
}

// Run writes this entry's heartbeat row and scans the rows of the others until
// ctx ends. It returns ErrReplaced when another incarnation has taken over the
// ID.
func (r *Registry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.runHeartbeats(ctx) })
	g.Go(func() error {
		r.runScans(ctx)
		return nil
	})
	return g.Wait()
}

func (r *Registry) runHeartbeats(ctx context.Context) error {
	phase := StaggeredDelays()
	for first := true; ; first = false {
		err := r.writeHeartbeat(ctx, r.Self())
		r.recordCall(err)
		if errors.Is(err, ErrReplaced) {
			r.markReplaced()
			return err
		}
		if err != nil && ctx.Err() == nil {
			r.log.WithError(err).Warn("member: heartbeat failed.")
		}
		if first && err == nil && !ctxtime.Sleep(ctx, settleTime) {
			return nil
		}
		if !r.awaitHeartbeat(ctx, phase(r.heartbeatPeriod(r.Count()))) {
			return nil
		}
	}
}

// awaitHeartbeat waits until the next heartbeat is due, and returns false when ctx
// ends. A restored table may lack this entry's row, so the heartbeat is then due
// within the period that bounds the writes of all members.
func (r *Registry) awaitHeartbeat(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for due := time.Now().Add(delay); ; {
		_, restored := r.opt.TableEpoch.Watch()
		select {
		case <-timer.C:
			return true
		case <-restored:
			soon := time.Now().Add(rand.N(HeartbeatPeriod(r.Count())))
			if soon.Before(due) {
				due = soon
				timer.Reset(time.Until(due))
			}
		case <-ctx.Done():
			return false
		}
	}
}

// writeHeartbeat commits the heartbeat row, conditional on the last version
// that this entry wrote or read. If the commit fails or its response is lost,
// the next heartbeat reads the row first.
func (r *Registry) writeHeartbeat(ctx context.Context, m Member) error {
	ctx, cancel := context.WithTimeout(infra.WithPriority(ctx, infra.PriorityLease), callTimeout)
	defer cancel()
	expect, err := r.expectedVersion(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row{Member: m, Beat: r.nextHeartbeatSeq(), TableEpoch: r.opt.TableEpoch.Current()})
	if err != nil {
		return fmt.Errorf("member row: %w", err)
	}
	write := infra.Write{Key: rowPrefix + m.ID, Value: value, Expect: expect}
	version, err := r.table.Commit(ctx, write)
	if err != nil {
		r.clearRowVersion()
		return fmt.Errorf("write heartbeat: %w", err)
	}
	r.recordWrite(version)
	return nil
}

// expectedVersion returns the version that the row must have for a commit to
// succeed. It reads the row when the outcome of the last commit is unknown, or when
// the table was restored since.
func (r *Registry) expectedVersion(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	version, self := r.rowVersion, r.self
	r.mu.Unlock()
	if version != 0 && infra.EpochOf(version) == r.opt.TableEpoch.Current() {
		return version, nil
	}
	tableRow, ok, err := r.table.Get(ctx, rowPrefix+self.ID)
	if err != nil {
		return 0, fmt.Errorf("read own row: %w", err)
	}
	if !ok {
		return infra.ExpectAbsent, nil
	}
	var v row
	if err := json.Unmarshal(tableRow.Value, &v); err != nil {
		return tableRow.Version, nil
	}
	if v.Incarnation == self.Incarnation {
		r.adoptEpoch(v, tableRow.Version)
		return tableRow.Version, nil
	}
	r.markRejoined()
	// Another incarnation wrote the row. It is an earlier one, unless this
	// incarnation has written the row before: then a later one has replaced it, or
	// the table was restored from a copy.
	if self.Epoch != 0 && epochOf(v, tableRow.Version) > self.Epoch {
		return 0, ErrReplaced
	}
	return tableRow.Version, nil
}

func (r *Registry) markRejoined() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejoined = true
}

// adoptEpoch sets the epoch from this entry's own row after a first commit
// whose response was lost.
func (r *Registry) adoptEpoch(v row, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Epoch == 0 {
		r.self.Epoch = epochOf(v, version)
	}
}

func (r *Registry) recordWrite(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rowVersion = version
	if r.self.Epoch == 0 {
		r.self.Epoch = version
	}
	select {
	case <-r.joined:
	default:
		close(r.joined)
	}
}

func (r *Registry) clearRowVersion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rowVersion = 0
}

func (r *Registry) nextHeartbeatSeq() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeatSeq++
	return r.heartbeatSeq
}

func (r *Registry) markReplaced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isReplaced {
		r.isReplaced = true
		close(r.replaced)
		r.log.Error("member: replaced by another incarnation.")
	}
}

// Read reads a member from its heartbeat row in the table. It returns false
// when there is no row.
func (r *Registry) Read(ctx context.Context, id string) (Member, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tableRow, ok, err := r.table.Get(ctx, rowPrefix+id)
	if err != nil || !ok {
		return Member{}, false, err
	}
	var v row
	if err := json.Unmarshal(tableRow.Value, &v); err != nil {
		return Member{}, false, fmt.Errorf("row of member %s: %w", id, err)
	}
	v.Epoch = epochOf(v, tableRow.Version)
	return v.Member, true, nil
}

// SetLeaving marks this member as leaving. Peers receive the new state with the
// next state update, and the heartbeat row shows it from the next heartbeat.
func (r *Registry) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.State = Leaving
}

// Leave deletes this member's row. It is called at the end of a planned stop,
// after Run has returned.
func (r *Registry) Leave(ctx context.Context) error {
	r.SetLeaving()
	ctx, cancel := context.WithTimeout(infra.WithPriority(ctx, infra.PriorityLease), callTimeout)
	defer cancel()
	r.clearRowVersion()
	expect, err := r.expectedVersion(ctx)
	if err != nil || expect == infra.ExpectAbsent {
		return err
	}
	_, err = r.table.Commit(ctx, infra.Write{Key: rowPrefix + r.Self().ID, Delete: true, Expect: expect})
	if err != nil {
		return fmt.Errorf("delete own row: %w", err)
	}
	return nil
}
