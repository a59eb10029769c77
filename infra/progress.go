package infra

import "context"

// Progress is called while an answer arrives, on the goroutine of the call, with the
// number of its bytes received so far, and its length if the service has stated it or
// -1. A long answer may consist of pages, each of which begins at 0.
type Progress func(received, length int64)

type progressKey struct{}

// WithProgress returns a context for calls whose progress is reported to p, in
// addition to the reports that ctx already asks for. Implementations that don't
// observe their answers report nothing.
func WithProgress(ctx context.Context, p Progress) context.Context {
	if outer := ProgressOf(ctx); outer != nil {
		inner := p
		p = func(received, length int64) {
			outer(received, length)
			inner(received, length)
		}
	}
	return context.WithValue(ctx, progressKey{}, p)
}

// ProgressOf returns the receiver of the progress of calls made with ctx, or nil.
func ProgressOf(ctx context.Context) Progress {
	p, _ := ctx.Value(progressKey{}).(Progress)
	return p
}
