package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// readRows reads the rows of all services. Malformed ones are left out.
func readRows(ctx context.Context, table infra.Table, log *logrus.Entry) (map[string]Row, error) {
	rows, err := table.Scan(ctx, rowPrefix)
	if err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	out := make(map[string]Row, len(rows))
	for _, row := range rows {
		var r Row
		if err := json.Unmarshal(row.Value, &r); err != nil {
			log.WithField("row", row.Key).WithError(err).Warn("rollout: row can't be decoded.")
			continue
		}
		out[row.Key[len(rowPrefix):]] = r
	}
	return out, nil
}

// rowsRetryPeriod is the time between two attempts to read the rows while the table can't
// be read, so that they don't add to the load on it.
const rowsRetryPeriod = time.Second

// learnRows reads the rows once under each lease, as this entry may have learnt of none
// of them: an entry reports on a service only if it knows of its order.
func (k *Keeper) learnRows(ctx context.Context) {
	if k.rowsRead || time.Since(k.rowsTriedAt) < rowsRetryPeriod {
		return
	}
	k.rowsTriedAt = time.Now()
	rows, err := readRows(infra.WithPriority(ctx, infra.PriorityLease), k.opt.Table, k.opt.Log)
	if err != nil {
		if ctx.Err() == nil {
			k.opt.Log.WithError(err).Warn("rollout: rows can't be read.")
		}
		return
	}
	for name, row := range rows {
		k.opt.Gate.SetRow(name, row)
	}
	k.rowsRead = true
}

// commit writes the row if it differs from that in the table in more than the time.
func (k *Keeper) commit(ctx context.Context, name string, h *holding, next Row) error {
	compared := next
	compared.ElapsedMS, compared.Fence = h.inTable.ElapsedMS, h.inTable.Fence
	if h.version != 0 && sameRow(compared, h.inTable) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	expect := h.version
	if expect == 0 {
		expect = infra.ExpectAbsent
	}
	return k.opt.Lease.Do(ctx, func(ctx context.Context, _ uint64) error {
		version, err := k.opt.Table.Commit(ctx, infra.Write{Key: RowKey(name), Value: value, Expect: expect})
		if err != nil {
			h.unsure = true
			return fmt.Errorf("commit row: %w", err)
		}
		k.committed(h, next, version)
		return nil
	})
}

func (k *Keeper) committed(h *holding, row Row, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.inTable, h.version, h.unsure = row, version, false
	h.controller.Committed(row)
}

// errSuperseded reports that another holder has written the row.
var errSuperseded = errors.New("a later holder has written the row")

// readBack reads the row after a commit that may have had an effect.
func (k *Keeper) readBack(ctx context.Context, name string, h *holding) error {
	row, found, err := k.opt.Table.Get(ctx, RowKey(name))
	if err != nil {
		return fmt.Errorf("read row back: %w", err)
	}
	if !found {
		h.version, h.unsure = 0, false
		return nil
	}
	var r Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("decode row: %w", err)
	}
	k.mu.Lock()
	own, fence := h.controller.Row(), k.fence
	if r.Fence > fence {
		delete(k.held, name)
		k.mu.Unlock()
		return errSuperseded
	}
	k.mu.Unlock()
	if r.To == own.To && rank(r.Stage) > rank(own.Stage) {
		// Another holder has reached the verdict. Load continues from it.
		k.mu.Lock()
		delete(k.held, name)
		k.mu.Unlock()
		return nil
	}
	if r.To != own.To {
		h.version, h.inTable, h.unsure = row.Version, r, false
		return nil
	}
	if r.Fence < fence {
		k.mu.Lock()
		h.controller.ReservedByOther(h.inTable.Reserved, r.Reserved)
		k.mu.Unlock()
	}
	k.committed(h, r, row.Version)
	return nil
}

// writeStatus writes the status of the row in the table unless it is written.
func (k *Keeper) writeStatus(ctx context.Context, name string, h *holding) error {
	stage := h.inTable.Stage
	if stage == Moving {
		stage = Trial
	}
	k.mu.Lock()
	to := h.controller.Row().To
	k.mu.Unlock()
	if h.version == 0 || h.inTable.Status == stage || h.inTable.To != to {
		return nil
	}
	s := Status{Service: name, To: h.inTable.To, Stage: stage}
	err := k.opt.Lease.Do(ctx, func(ctx context.Context, _ uint64) error {
		return k.opt.WriteStatus(ctx, s, RowKey(name), h.version)
	})
	if err != nil {
		h.unsure = true
		return fmt.Errorf("write status: %w", err)
	}
	k.mu.Lock()
	h.controller.row.Status = stage
	k.mu.Unlock()
	k.opt.Count("status " + string(stage))
	k.opt.Log.WithFields(logrus.Fields{"service": name, "to": s.To, "status": string(stage)}).Info("rollout: status written.")
	return nil
}

func sameRow(x, y Row) bool {
	return x.To == y.To && x.DurationMS == y.DurationMS && x.Stage == y.Stage && x.Reason == y.Reason &&
		x.Reserved == y.Reserved && x.Status == y.Status && slices.Equal(x.Allowed, y.Allowed) && slices.Equal(x.Closed, y.Closed)
}
