package standin

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// ObjectFaults are the faults of Objects. The zero value has none.
type ObjectFaults struct {
	CallFaults
	// LoseAnswer is the probability in [0, 1] that a write takes effect but
	// its answer is lost.
	LoseAnswer float64 `json:"lose_answer"`
}

// Objects is an in-memory object store. It is safe for concurrent use.
type Objects struct {
	faultSwitch[ObjectFaults]
	mu     sync.Mutex
	bodies map[string][]byte
	rng    *rand.Rand
}

// NewObjects returns an empty store; seed seeds its random faults.
func NewObjects(seed uint64) *Objects {
	return &Objects{bodies: make(map[string][]byte), rng: rand.New(rand.NewPCG(seed, seed))}
}

// Put implements infra.Objects.
func (o *Objects) Put(ctx context.Context, key string, body []byte) error {
	return o.write(ctx, func() { o.bodies[key] = bytes.Clone(body) })
}

// Delete implements infra.Objects.
func (o *Objects) Delete(ctx context.Context, key string) error {
	return o.write(ctx, func() { delete(o.bodies, key) })
}

// Get implements infra.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	if err := o.Faults().beginCall(ctx, "objects"); err != nil {
		return nil, false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[key]
	return bytes.Clone(body), ok, nil
}

func (o *Objects) write(ctx context.Context, apply func()) error {
	faults := o.Faults()
	if err := faults.beginCall(ctx, "objects"); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	apply()
	if o.rng.Float64() < faults.LoseAnswer {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "objects: %w", errConnectionLost)
	}
	return nil
}
