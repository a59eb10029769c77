package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const deployment = "plan"

// entry holds the control components of one entry host.
type entry struct {
	id, domain, region string
	listen             func() (net.Listener, error)
	dial               DialFunc

	registry *member.Registry
	notices  *drain.Set
	mesh     *peer.Mesh
	watcher  *template.Watcher
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu          sync.Mutex
	entryStates map[string]peer.EntryState
}

func (e *entry) start(ctx context.Context, table infra.Table, log *logrus.Entry) error {
	listener, err := e.listen()
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	e.entryStates = make(map[string]peer.EntryState)
	e.registry = member.New(table, member.Options{
		ID:            e.id,
		Incarnation:   uuid.NewString(),
		Addr:          listener.Addr().String(),
		FailureDomain: e.domain,
		Region:        e.region,
		Log:           log,
	})
	e.notices = drain.NewSet(log)
	e.watcher = template.NewWatcher(template.NewStore(table, template.StoreOptions{}), deployment,
		template.WatcherOptions{Fetch: e.fetchTemplate, Log: log})
	e.mesh = peer.New(peer.Options{
		Deployment: deployment,
		Registry:   e.registry,
		Notices:    e.notices,
		Listener:   listener,
		Dial:       e.dial,
		Log:        log,
		Handlers: peer.Handlers{
			EntryState:      e.recordEntryState,
			TemplateVersion: func(from, _ string, version uint64) { e.watcher.Observe(version, from) },
			TemplateFetch:   e.serveTemplate,
		},
	})
	e.watcher.OnChange(func(t *template.Template) { e.mesh.SetTemplateVersion(t.Name, t.Version) })
	ctx, e.cancel = context.WithCancel(ctx)
	e.running.Go(func() { _ = e.registry.Run(ctx) })
	e.running.Go(func() { _ = e.mesh.Run(ctx) })
	e.running.Go(func() { _ = e.watcher.Run(ctx) })
	return nil
}

// stop stops the entry without announcing it to the other members.
func (e *entry) stop() {
	e.cancel()
	e.running.Wait()
}

func (e *entry) recordEntryState(from string, d peer.EntryState) {
	e.watcher.RecordPeerContact()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entryStates[from] = d
}

// fetchTemplate fetches a template version from a peer.
func (e *entry) fetchTemplate(ctx context.Context, from, name string, version uint64) (*template.Template, error) {
	body, found, err := e.mesh.FetchTemplate(ctx, from, name, version)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fmt.Errorf("peer %s has no version %d", from, version)
	}
	t := &template.Template{}
	if err := json.Unmarshal(body, t); err != nil {
		return nil, fmt.Errorf("template from peer %s: %w", from, err)
	}
	return t, nil
}

// serveTemplate returns the current template to a peer that requests its
// version.
func (e *entry) serveTemplate(name string, version uint64) (json.RawMessage, bool) {
	t := e.watcher.Current()
	if t == nil || t.Name != name || t.Version != version {
		return nil, false
	}
	body, err := json.Marshal(t)
	return body, err == nil
}
