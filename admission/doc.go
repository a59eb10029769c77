// Package admission decides whether a request may start now, must wait, or is
// refused. A refusal promises that the request was not run.
//
// Each entry enforces its part of a customer's limit. The parts follow the
// demand that the entries tell each other, so that no shared counter is
// needed; an entry that hears from nobody enforces an equal part.
package admission
