package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

const (
	// digestPeriod is the time between two digests on a connection.
	digestPeriod = time.Second
	// noticeBatch and stateBatch bound what one message carries.
	noticeBatch = 256
	stateBatch  = 64
	// waitsAtOnce bounds the calls of one peer that wait for changes: two
	// feeds, and calls that were given up there and still wait here.
	waitsAtOnce = 8
	// longestWait bounds how long such a call waits.
	longestWait = 5 * time.Second
	// handoffsAtOnce bounds the handoffs of one peer that run at a time.
	handoffsAtOnce = 4
)

// Errors of a connection.
var (
	errClosed   = errors.New("connection closed")
	errOutdated = errors.New("member is not the registered incarnation")
	errImpostor = errors.New("message claims to be another member")
	errStranger = errors.New("peer belongs to another deployment")
	errBusy     = errors.New("too many calls at once")
)

// link is a connection with one peer. One goroutine writes; the reader of
// jsonrpc2 handles what arrives.
type link struct {
	mesh   *Mesh
	stream *stream
	conn   *jsonrpc2.Conn
	remote net.Addr
	// dialled is set on the side that opened the connection.
	dialled bool
	wake    chan struct{}
	// begun is closed once conn is set.
	begun chan struct{}
	// ready is closed once peer is known.
	ready chan struct{}
	peer  member.Member
	once  bool

	handoffs chan struct{}
	waits    chan struct{}

	mu sync.Mutex
	// has is what the peer has of each origin.
	has map[string]stamp
	// got holds the notices that came from the peer and need not go back.
	got map[drain.Key]bool
	// relay is set when the peer asked for the states of third members.
	relay bool
	err   error

	// The fields below belong to the writing goroutine.
	noticePosition uint64
	stateChange    uint64
	sentTemplates  map[string]uint64
	askedRelay     bool
	// relayed says whether the last digest relayed states.
	relayed bool
}

func (m *Mesh) newLink(ctx context.Context, nc net.Conn, dialled bool, idle time.Duration) *link {
	l := &link{
		mesh:          m,
		stream:        newStream(nc, idle, &m.traffic),
		remote:        nc.RemoteAddr(),
		dialled:       dialled,
		wake:          make(chan struct{}, 1),
		begun:         make(chan struct{}),
		ready:         make(chan struct{}),
		handoffs:      make(chan struct{}, handoffsAtOnce),
		waits:         make(chan struct{}, waitsAtOnce),
		has:           make(map[string]stamp),
		got:           make(map[drain.Key]bool),
		sentTemplates: make(map[string]uint64),
	}
	l.conn = jsonrpc2.NewConn(ctx, l.stream, l, jsonrpc2.SetLogger(m.quiet))
	close(l.begun)
	return l
}

// Handle implements jsonrpc2.Handler. It runs on the reading goroutine.
func (l *link) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	// The reader may be here before NewConn has returned.
	<-l.begun
	if req.Method == methodHello && !l.dialled {
		l.handleHello(ctx, req)
		return
	}
	// On the dialling side the answer to hello is looked at first.
	select {
	case <-l.ready:
	case <-ctx.Done():
		return
	}
	if err := l.dispatch(ctx, req); err != nil {
		l.fail(err)
	}
}

func (l *link) dispatch(ctx context.Context, req *jsonrpc2.Request) error {
	switch req.Method {
	case methodDigest:
		var d digest
		if err := params(req, &d); err != nil {
			return err
		}
		return l.handleDigest(d)
	case methodNotices:
		var n notices
		if err := params(req, &n); err != nil {
			return err
		}
		l.handleNotices(n)
	case methodVersions:
		var v versions
		if err := params(req, &v); err != nil {
			return err
		}
		l.handleVersions(v)
	case methodTemplate:
		return l.handleTemplate(ctx, req)
	case methodHandoff:
		return l.handleHandoff(ctx, req)
	case methodTake:
		return l.handleTake(ctx, req)
	case methodChanges:
		return l.handleChanges(ctx, req)
	case methodPlace:
		var p PlaceRequest
		if err := params(req, &p); err != nil {
			return err
		}
		return l.conn.Reply(ctx, req.ID, l.mesh.o.Handlers.place(p))
	case methodCounts:
		return l.conn.Reply(ctx, req.ID, countsResult{Counts: l.mesh.o.Handlers.counts()})
	default:
		return fmt.Errorf("%w: method %q", errGarbage, req.Method)
	}
	return nil
}

func (l *link) handleDigest(d digest) error {
	peer := l.peer
	if d.Leaving {
		peer.State = member.Leaving
	}
	l.mesh.o.Registry.Merge(peer, 0)
	l.mu.Lock()
	if d.Relay != nil {
		l.relay = *d.Relay
	}
	for _, st := range d.States {
		if l.has[st.Origin].less(st.Stamp) {
			l.has[st.Origin] = st.Stamp
		}
	}
	l.mu.Unlock()
	for _, st := range d.States {
		if err := l.mesh.takeState(st); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) handleNotices(n notices) {
	for _, record := range n.Notices {
		notice := record.notice()
		l.mu.Lock()
		l.got[notice.Key()] = true
		l.mu.Unlock()
		l.mesh.o.Notices.Add(notice)
	}
}

func (l *link) handleVersions(v versions) {
	for name, version := range v.Templates {
		l.mesh.o.Handlers.templateVersion(l.peer.ID, name, version)
	}
}

func (l *link) handleTemplate(ctx context.Context, req *jsonrpc2.Request) error {
	var p templateParams
	if err := params(req, &p); err != nil {
		return err
	}
	body, ok := l.mesh.o.Handlers.templateFetch(p.Name, p.Version)
	return l.conn.Reply(ctx, req.ID, templateResult{Found: ok, Body: body})
}

func (l *link) handleTake(ctx context.Context, req *jsonrpc2.Request) error {
	var p takeParams
	if err := params(req, &p); err != nil {
		return err
	}
	g, kept := l.mesh.o.Handlers.take(p.Customer, p.Units, time.Duration(p.WithinMS)*time.Millisecond)
	return l.conn.Reply(ctx, req.ID, takeResult{WaitMS: wholeMilliseconds(g.Delay), Taken: g.OK, Elsewhere: !kept})
}

// wholeMilliseconds rounds up: 0 would say that there is room.
func wholeMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// handleChanges waits for changes beside the reading goroutine.
func (l *link) handleChanges(ctx context.Context, req *jsonrpc2.Request) error {
	var p changesParams
	if err := params(req, &p); err != nil {
		return err
	}
	select {
	case l.waits <- struct{}{}:
	default:
		return l.replyError(ctx, req.ID, errBusy)
	}
	wait := min(time.Duration(p.WaitMS)*time.Millisecond, longestWait)
	l.mesh.calls.Go(func() {
		defer func() { <-l.waits }()
		update, err := l.mesh.o.Handlers.changes(ctx, p.Feed, p.After, wait)
		switch {
		case errors.Is(err, infra.ErrCompacted):
			_ = l.conn.Reply(ctx, req.ID, changesResult{Gone: true})
		case errors.Is(err, follow.ErrLost):
			_ = l.conn.Reply(ctx, req.ID, changesResult{Lost: true})
		case err != nil:
			_ = l.replyError(ctx, req.ID, err)
		default:
			_ = l.conn.Reply(ctx, req.ID, changesOf(update))
		}
	})
	return nil
}

// handleHandoff runs the handoff beside the reading goroutine, because it may
// wait for the table.
func (l *link) handleHandoff(ctx context.Context, req *jsonrpc2.Request) error {
	var p handoffParams
	if err := params(req, &p); err != nil {
		return err
	}
	select {
	case l.handoffs <- struct{}{}:
	default:
		return l.replyError(ctx, req.ID, errBusy)
	}
	l.mesh.calls.Go(func() {
		defer func() { <-l.handoffs }()
		if err := l.mesh.o.Handlers.handoff(ctx, p.JobID); err != nil {
			_ = l.replyError(ctx, req.ID, err)
			return
		}
		_ = l.conn.Reply(ctx, req.ID, ack{})
	})
	return nil
}

func (l *link) replyError(ctx context.Context, id jsonrpc2.ID, err error) error {
	return l.conn.ReplyWithError(ctx, id, &jsonrpc2.Error{
		Code:    jsonrpc2.CodeInternalError,
		Message: err.Error(),
	})
}

// fail closes the connection for a reason.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	l.mu.Unlock()
	_ = l.conn.Close()
}

// close ends the connection and waits for its reader.
func (l *link) close() {
	_ = l.conn.Close()
	<-l.stream.ended
}

// failure returns why the connection ended.
func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if err := l.stream.failure(); err != nil {
		return err
	}
	return errClosed
}

// poke lets the writing goroutine look for something to send at once.
func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func params(req *jsonrpc2.Request, v any) error {
	if req.Params == nil {
		return fmt.Errorf("%w: no parameters", errGarbage)
	}
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return fmt.Errorf("%w: %w", errGarbage, err)
	}
	return nil
}
