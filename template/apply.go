package template

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// highestVersion returns the highest version held, whether in force or not.
func (w *Watcher) highestVersion() uint64 { return w.highest.Load().version() }

// apply stores t, the answer to a request for version, unless an equal or
// higher version is held. It accepts a higher version than the requested one.
// apply returns false if it rejects t because t is nil, invalid, of another
// template or older than requested.
func (w *Watcher) apply(t *Template, version uint64, from string) bool {
	if t == nil || t.Name != w.name || t.Version < version || Validate(t) != nil {
		w.log.WithFields(logrus.Fields{"version": version, "from": from}).Warn("template: version rejected.")
		return false
	}
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if t.Version <= w.highestVersion() {
		return true
	}
	w.highest.Store(NewIndex(t))
	w.dropFulfilledClaims()
	w.log.WithFields(logrus.Fields{"version": t.Version, "from": from}).Info("template: version accepted.")
	if w.ready.Load() {
		w.publishLocked()
	}
	return true
}

// publishLocked puts the highest version in force and calls the callbacks.
func (w *Watcher) publishLocked() {
	before, next := w.Version(), w.highest.Load()
	invariant.Check(next.version() > before, invariant.TemplateMonotonic, "version %d after %d", next.version(), before)
	w.current.Store(next)
	w.log.WithFields(logrus.Fields{"version": next.version(), "before": before}).Info("template: version in force.")
	for _, f := range w.onChange {
		f(next.Template)
	}
}

// updateReady makes the entry ready once it has the highest version available:
// that of the table or, without the table, the highest one of the peers after
// the settle time.
func (w *Watcher) updateReady() {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if w.ready.Load() || w.highest.Load() == nil || !w.caughtUp() {
		return
	}
	w.publishLocked()
	w.ready.Store(true)
	w.log.WithField("version", w.Version()).Info("template: ready.")
}

// caughtUp reports whether the version held is the highest one that the table,
// or the peers after the settle time, have reported.
func (w *Watcher) caughtUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.behind && (!w.confirmedTable.IsZero() || w.peersConfirmLocked(time.Now()))
}
