package job

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/sweep"
)

// NewSweeper returns the sweeper of finished requests, which are kept for at
// least ttl after their end; 0 means the default of one day. The sweeper must
// run under a lease.
func (s *Store) NewSweeper(ttl time.Duration) *sweep.Sweeper {
	return sweep.New(s.table, sweep.Options{
		Name:     "job",
		Prefixes: sweep.Shards(jobPrefix),
		TTL:      ttl,
		Expire:   s.expire,
		Log:      s.log,
	})
}

// expire deletes the objects of a finished request and returns the deletes of
// its other rows. The objects are deleted first: a row whose objects are
// deleted is swept again, whereas objects without a row would remain.
func (s *Store) expire(ctx context.Context, row infra.Row) ([]infra.Write, bool) {
	var r Record
	if err := decode(row.Value, &r); err != nil || !r.State.Finished() {
		return nil, false
	}
	for _, object := range r.objects() {
		if err := s.objects.Delete(ctx, object); err != nil {
			s.log.WithError(err).Debug("job: old text not deleted.")
			return nil, false
		}
	}
	deletes := []infra.Write{{Key: r.requestRow(), Delete: true, Expect: infra.ExpectAny}}
	if r.IdempotencyKey != "" {
		deletes = append(deletes, infra.Write{Key: r.keyRow(), Delete: true, Expect: infra.ExpectAny})
	}
	return deletes, true
}

// objects returns the names of the objects of a finished record.
func (r *Record) objects() []string {
	var names []string
	if r.PromptObject != "" {
		names = append(names, r.PromptObject)
	}
	if r.Answer != nil && r.Answer.Text.Object != "" {
		names = append(names, r.Answer.Text.Object)
	}
	return names
}
