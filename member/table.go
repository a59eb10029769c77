package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	rowPrefix = "member/"
	// callTimeout bounds one call of the table.
	callTimeout = 2 * time.Second
)

// ErrReplaced says that another incarnation owns this member's row.
var ErrReplaced = errors.New("another incarnation has the member's ID")

// row is the value of a heartbeat row.
type row struct {
	Member
	// Beat makes each heartbeat a change of the row.
	Beat uint64 `json:"beat"`
}

// Run writes heartbeats and reads those of others until ctx ends. It returns
// ErrReplaced when another incarnation has taken over the ID.
func (r *Registry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.heartbeats(ctx) })
	g.Go(func() error {
		r.scans(ctx)
		return nil
	})
	return g.Wait()
}

func (r *Registry) heartbeats(ctx context.Context) error {
	phase := Phase()
	for {
		err := r.write(ctx, r.Self())
		if errors.Is(err, ErrReplaced) {
			r.markLost()
			return err
		}
		if err != nil && ctx.Err() == nil {
			r.log.WithError(err).Warn("member: heartbeat failed.")
		}
		if !ctxtime.Sleep(ctx, phase(HeartbeatPeriod(r.Count()))) {
			return nil
		}
	}
}

// write commits the heartbeat row, conditional on the row as last seen. A
// commit whose answer was lost is read back by the next heartbeat.
func (r *Registry) write(ctx context.Context, m Member) error {
	ctx, cancel := context.WithTimeout(infra.WithPriority(ctx, infra.PriorityLease), callTimeout)
	defer cancel()
	expect, err := r.expected(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row{Member: m, Beat: r.nextBeat()})
	if err != nil {
		return fmt.Errorf("member row: %w", err)
	}
	write := infra.Write{Key: rowPrefix + m.ID, Value: value, Expect: expect}
	version, err := r.table.Commit(ctx, write)
	if err != nil {
		r.forgetRow()
		return fmt.Errorf("write heartbeat: %w", err)
	}
	r.wrote(version)
	return nil
}

// expected returns the version that the row must have. It reads the row when
// the last commit's outcome is unknown.
func (r *Registry) expected(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	known, self := r.rowSeen, r.self
	r.mu.Unlock()
	if known != 0 {
		return known, nil
	}
	found, ok, err := r.table.Get(ctx, rowPrefix+self.ID)
	if err != nil {
		return 0, fmt.Errorf("read own row: %w", err)
	}
	if !ok {
		return infra.ExpectAbsent, nil
	}
	var v row
	if err := json.Unmarshal(found.Value, &v); err != nil {
		return found.Version, nil
	}
	if v.Incarnation == self.Incarnation {
		r.adopt(v, found.Version)
		return found.Version, nil
	}
	// The row is that of an earlier incarnation, unless this one had written
	// before: then it has been replaced.
	if self.Epoch != 0 && found.Version > self.Epoch {
		return 0, ErrReplaced
	}
	return found.Version, nil
}

// adopt takes over the epoch of an own row whose commit was not answered.
func (r *Registry) adopt(v row, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Epoch == 0 {
		r.self.Epoch = epochOf(v, version)
	}
}

func (r *Registry) wrote(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rowSeen = version
	if r.self.Epoch == 0 {
		r.self.Epoch = version
	}
	select {
	case <-r.joined:
	default:
		close(r.joined)
	}
}

func (r *Registry) forgetRow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rowSeen = 0
}

func (r *Registry) nextBeat() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beat++
	return r.beat
}

func (r *Registry) markLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLost {
		r.isLost = true
		close(r.lost)
		r.log.Error("member: replaced by another incarnation.")
	}
}

// Read returns the member of a heartbeat row from the table.
func (r *Registry) Read(ctx context.Context, id string) (Member, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, ok, err := r.table.Get(ctx, rowPrefix+id)
	if err != nil || !ok {
		return Member{}, false, err
	}
	var v row
	if err := json.Unmarshal(found.Value, &v); err != nil {
		return Member{}, false, fmt.Errorf("row of member %s: %w", id, err)
	}
	v.Epoch = epochOf(v, found.Version)
	return v.Member, true, nil
}

// SetLeaving marks this member as leaving, in the digests at once and in the
// row with the next heartbeat.
func (r *Registry) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.State = Leaving
}

// Leave deletes the member's row at the end of a planned stop, after Run has
// returned.
func (r *Registry) Leave(ctx context.Context) error {
	r.SetLeaving()
	ctx, cancel := context.WithTimeout(infra.WithPriority(ctx, infra.PriorityLease), callTimeout)
	defer cancel()
	r.forgetRow()
	expect, err := r.expected(ctx)
	if err != nil || expect == infra.ExpectAbsent {
		return err
	}
	_, err = r.table.Commit(ctx, infra.Write{Key: rowPrefix + r.Self().ID, Delete: true, Expect: expect})
	if err != nil {
		return fmt.Errorf("delete own row: %w", err)
	}
	return nil
}
