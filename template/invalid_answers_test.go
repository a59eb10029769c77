package template_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// invalidAnswers returns the answers that a faulty peer may give to a fetch of
// the version that it reported.
func invalidAnswers() map[string]func() (*template.Template, error) {
	broken := small(1)
	broken.Version = 9
	broken.Customers = nil
	other := small(1)
	other.Version, other.Name = 9, "other"
	older := small(1)
	older.Version = 1
	return map[string]func() (*template.Template, error){
		"not valid":      func() (*template.Template, error) { return broken, nil },
		"other template": func() (*template.Template, error) { return other, nil },
		"older":          func() (*template.Template, error) { return older, nil },
		"nothing":        func() (*template.Template, error) { return nil, nil },
		"unknown": func() (*template.Template, error) {
			return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "none")
		},
	}
}

// withPeerAnswer runs a test with a watcher whose peers all give the same
// answer.
func withPeerAnswer(t *testing.T, fetch func() (*template.Template, error), body func(c *qt.C, f *fleet, l *link, w *template.Watcher)) {
	t.Helper()
	inFleet(t, func(c *qt.C, f *fleet) {
		f.publish(0, 1)
		l := newLink(f.table, 1)
		w := template.NewWatcher(template.NewStore(l, template.StoreOptions{}), "agencia", template.WatcherOptions{
			Fetch: func(context.Context, string, string, uint64) (*template.Template, error) { return fetch() },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(2 * time.Second)
		body(c, f, l, w)
		cancel()
		c.Assert(<-done, qt.IsNil)
	})
}

func TestInvalidAnswersOfPeersAreIgnored(t *testing.T) {
	fetches := invalidAnswers()
	fetches["failure"] = func() (*template.Template, error) { return nil, errors.New("broken") }
	for name, fetch := range fetches {
		t.Run(name, func(t *testing.T) {
			withPeerAnswer(t, fetch, func(c *qt.C, f *fleet, _ *link, w *template.Watcher) {
				for i := range 200 {
					w.Observe(uint64(9+i), fmt.Sprintf("liar-%d", i))
				}
				f.publish(1, 2)
				time.Sleep(template.ConvergenceBound)
				c.Check(w.Version(), qt.Equals, uint64(2))
				c.Check(w.Fresh(), qt.IsTrue)
			})
		})
	}
}

func TestInvalidAnswersOfAPeerAreIgnoredDuringAnOutage(t *testing.T) {
	for name, fetch := range invalidAnswers() {
		t.Run(name, func(t *testing.T) {
			withPeerAnswer(t, fetch, func(c *qt.C, _ *fleet, l *link, w *template.Watcher) {
				l.set(faults{down: true})
				for range 20 {
					w.Observe(9, "liar")
					time.Sleep(500 * time.Millisecond)
					w.Observe(1, "honest")
					time.Sleep(500 * time.Millisecond)
					c.Assert(w.Fresh(), qt.IsTrue)
					c.Assert(w.Version(), qt.Equals, uint64(1))
				}
			})
		})
	}
}
