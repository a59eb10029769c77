package template

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// known returns the highest version held, in force or not.
func (w *Watcher) known() uint64 { return w.highest.Load().version() }

// apply takes t, which was asked for as version, unless an equal or higher
// version is held. A later version than the one asked for is welcome. It
// returns false when t is refused as not whole, not valid or too old.
func (w *Watcher) apply(t *Template, version uint64, from string) bool {
	if t == nil || t.Name != w.name || t.Version < version || Validate(t) != nil {
		w.log.WithFields(logrus.Fields{"version": version, "from": from}).Warn("template: refused.")
		return false
	}
	w.applying.Lock()
	defer w.applying.Unlock()
	if t.Version <= w.known() {
		return true
	}
	w.highest.Store(NewIndex(t))
	w.forgetClaims()
	w.log.WithFields(logrus.Fields{"version": t.Version, "from": from}).Info("template: version taken.")
	if w.ready.Load() {
		w.publishLocked()
	}
	return true
}

// publishLocked puts the highest version in force.
func (w *Watcher) publishLocked() {
	before, next := w.Version(), w.highest.Load()
	invariant.Check(next.version() > before, invariant.TemplateMonotonic, "version %d after %d", next.version(), before)
	w.current.Store(next)
	w.log.WithFields(logrus.Fields{"version": next.version(), "before": before}).Info("template: version in force.")
	for _, f := range w.onChange {
		f(next.Template)
	}
}

// updateReady makes the entry ready once it has the highest version it can
// learn of: the table's, or without the table the peers' after they had time
// to be heard.
func (w *Watcher) updateReady() {
	w.applying.Lock()
	defer w.applying.Unlock()
	if w.ready.Load() || w.highest.Load() == nil || !w.settled() {
		return
	}
	w.publishLocked()
	w.ready.Store(true)
	w.log.WithField("version", w.Version()).Info("template: ready.")
}

// settled says that no higher version than the one held can be learnt of now.
func (w *Watcher) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.behind && (!w.confirmedTable.IsZero() || w.peersConfirmLocked(time.Now()))
}
