package template_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	kitchenKey = "5f0c4f1c2e0c8b9e0cf7a5d8e3f4b6a798c1d2e3f405162738495a6b7c8d9e0f"
	marketKey  = "6f0c4f1c2e0c8b9e0cf7a5d8e3f4b6a798c1d2e3f405162738495a6b7c8d9e0f"
)

// small returns a valid template with one customer of the given share.
func small(share float64) *template.Template {
	return &template.Template{
		Name:   "agencia",
		Models: []template.Model{{Name: "triage", Version: "1", MinReplicas: 1, MaxReplicas: 3}},
		Kinds: []template.Kind{{
			Name: "question", Urgency: template.UrgencyUrgent, Deadline: template.Duration(460 * time.Millisecond),
			Delivery: template.DeliveryAttached, Model: "triage", MaxTokens: 100,
		}},
		Customers: []template.Customer{{
			Name: "kitchen", KeySHA256: kitchenKey, Share: share, TokensPerSecond: 100, BurstTokens: 1000, CostPerHour: 1,
		}},
	}
}

func TestSecondOfTwoOperatorsGetsConflictWithDiff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		store := template.NewStore(standin.NewTable(1), template.StoreOptions{})
		version, err := store.Publish(ctx, 0, "ana", small(1))
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, uint64(1))

		first, err := store.Edit(ctx, 1, "ana", small(2))
		c.Assert(err, qt.IsNil)
		second, err := store.Edit(ctx, 1, "bento", small(3))
		c.Assert(err, qt.IsNil)
		head, err := store.Get(ctx, "agencia", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(head.Customers[0].Share, qt.Equals, 1.0)

		version, err = store.Approve(ctx, "agencia", first.ID, "ana")
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, uint64(2))
		_, err = store.Approve(ctx, "agencia", second.ID, "bento")
		var conflict *template.ConflictError
		c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(conflict.Theirs, qt.Equals, "~ customers[kitchen].share: 1 -> 2\n")
		c.Assert(conflict.Ours, qt.Equals, "~ customers[kitchen].share: 1 -> 3\n")
		_, err = store.Edit(ctx, 1, "bento", small(3))
		c.Assert(errors.As(err, &conflict), qt.IsTrue)
	})
}
