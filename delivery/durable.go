package delivery

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

var errNoStore = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this entry records no durable requests")

// Durable records a request and returns its ID, which is that of an earlier
// request with the same idempotency key.
func (s *Service) Durable(_ context.Context, r *Request) (string, error) {
	r.Ticket.Done(admission.Usage{})
	return "", errNoStore
}

// Follow writes the answer of a durable request from a token offset on.
func (s *Service) Follow(context.Context, string, string, int, Output) error { return errNoStore }

// Status returns the state of a durable request.
func (s *Service) Status(context.Context, string, string) (Status, error) {
	return Status{}, errNoStore
}
