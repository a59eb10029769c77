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
	"golang.org/x/time/rate"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

const (
	// sendPeriod is the mean time between two state updates on a connection.
	sendPeriod = time.Second
	// noticeBatch and stateBatch bound the notices and states in one message.
	noticeBatch = 256
	stateBatch  = 64
	// evidenceBytesPerSecond bounds the evidence that an entry sends on all of its
	// connections, and evidenceBurstBytes that on one of them at once, since a
	// customer can cause any number of crashes. What waits is superseded by newer
	// evidence of the same crash.
	evidenceBytesPerSecond = 2400
	evidenceBurstBytes     = 3 << 10
	// evidenceEnvelopeBytes is the length of a message without the evidence.
	evidenceEnvelopeBytes = 60
	// maxChangeCalls bounds the concurrent calls of one peer that wait for
	// changes. A peer follows two feeds; the rest is for calls that the peer
	// has cancelled and that still wait here.
	maxChangeCalls = 8
	// maxChangeWait bounds how long such a call waits.
	maxChangeWait = 5 * time.Second
	// maxHandoffs bounds the concurrent handoffs of one peer.
	maxHandoffs = 4
)

// Errors that end or refuse a connection or a call.
var (
	errClosed          = errors.New("connection closed")
	errOutdated        = errors.New("member is not the registered incarnation")
	errImpostor        = errors.New("message claims to be another member")
	errOtherDeployment = errors.New("peer belongs to another deployment")
	errBusy            = errors.New("too many calls at once")
)

// link is a connection with one peer. One goroutine sends state updates,
// notices and template versions. The reading goroutine of jsonrpc2 handles
// incoming messages.
type link struct {
	mesh   *Mesh
	stream *stream
	conn   *jsonrpc2.Conn
	remote net.Addr
	// dialled is set on the side that opened the connection.
	dialled bool
	// wake makes the writing goroutine send urgent changes.
	wake chan struct{}
	// connSet is closed once conn is set.
	connSet chan struct{}
	// ready is closed after the hello, when peer and callOnly are set.
	ready    chan struct{}
	peer     member.Member
	callOnly bool

	// handoffs and changeCalls are semaphores for calls of the peer.
	handoffs    chan struct{}
	changeCalls chan struct{}

	mu sync.Mutex
	// peerStamps is the stamp of the latest state of each origin at the peer.
	peerStamps map[string]stamp
	// receivedNotices holds the notices received from the peer, which are not
	// sent back to it.
	receivedNotices map[drain.Key]bool
	// peerWantsRelay is set if the peer requested the states of third members.
	peerWantsRelay bool
	err            error

	// The fields below are used by the writing goroutine only.

	// noticePosition and sentChange are the positions in the notices and in the
	// states up to which everything was sent.
	noticePosition uint64
	sentChange     uint64
	// evidencePosition is the position in the evidence up to which everything
	// was sent.
	evidencePosition EvidencePosition
	// relayedEvidence is set if evidence of third members was sent up to there.
	relayedEvidence bool
	evidenceLimiter *rate.Limiter
	// limitPosition is the position in the limits up to which everything was
	// sent.
	limitPosition uint64
	limitLimiter  *rate.Limiter
	sentTemplates map[string]uint64
	// requestedRelay is the last Relay that was sent to the peer.
	requestedRelay bool
	// relayedLast is set if the last state update relayed states.
	relayedLast bool
}

func (m *Mesh) newLink(ctx context.Context, nc net.Conn, dialled bool, idle time.Duration) *link {
	l := &link{
		mesh:            m,
		stream:          newStream(nc, idle, &m.traffic),
		remote:          nc.RemoteAddr(),
		dialled:         dialled,
		wake:            make(chan struct{}, 1),
		connSet:         make(chan struct{}),
		ready:           make(chan struct{}),
		handoffs:        make(chan struct{}, maxHandoffs),
		changeCalls:     make(chan struct{}, maxChangeCalls),
		peerStamps:      make(map[string]stamp),
		receivedNotices: make(map[drain.Key]bool),
		sentTemplates:   make(map[string]uint64),
		evidenceLimiter: rate.NewLimiter(evidenceBytesPerSecond, evidenceBurstBytes),
		limitLimiter:    rate.NewLimiter(limitsPerSecond, limitsBurst),
	}
	l.conn = jsonrpc2.NewConn(ctx, l.stream, l, jsonrpc2.SetLogger(m.discardLog))
	close(l.connSet)
	return l
}

// Handle implements jsonrpc2.Handler. It runs on the reading goroutine.
func (l *link) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	// The reading goroutine may run before NewConn has returned.
	<-l.connSet
	if req.Method == methodHello && !l.dialled {
		l.handleHello(ctx, req)
		return
	}
	// The dialling side first checks the reply to its hello.
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
	case methodStateUpdate:
		var update stateUpdate
		if err := params(req, &update); err != nil {
			return err
		}
		return l.handleStateUpdate(update)
	case methodNotices:
		var n notices
		if err := params(req, &n); err != nil {
			return err
		}
		l.handleNotices(n)
	case methodEvidence:
		var e crashEvidence
		if err := params(req, &e); err != nil {
			return err
		}
		l.handleEvidence(e)
	case methodLimits:
		var n replicaLimits
		if err := params(req, &n); err != nil {
			return err
		}
		l.handleLimits(n)
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
	case methodReserve:
		return l.handleReserve(ctx, req)
	case methodChanges:
		return l.handleChanges(ctx, req)
	case methodPlace:
		var p PlaceRequest
		if err := params(req, &p); err != nil {
			return err
		}
		return l.conn.Reply(ctx, req.ID, l.mesh.o.Handlers.place(p))
	case methodPlacedEnd:
		var e PlacedEnd
		if err := params(req, &e); err != nil {
			return err
		}
		l.mesh.o.Handlers.placedEnd(e)
	case methodPermit:
		var r PermitRequest
		if err := params(req, &r); err != nil {
			return err
		}
		return l.conn.Reply(ctx, req.ID, l.mesh.o.Handlers.permit(l.peer.ID, r))
	case methodRollout:
		var r RolloutReport
		if err := params(req, &r); err != nil {
			return err
		}
		return l.conn.Reply(ctx, req.ID, l.mesh.o.Handlers.rollout(l.peer.ID, r))
	case methodLoads:
		var r LoadReport
		if err := params(req, &r); err != nil {
			return err
		}
		return l.conn.Reply(ctx, req.ID, l.mesh.o.Handlers.loads(l.peer.ID, r))
	case methodPushCounts:
		var c IncarnationCounts
		if err := params(req, &c); err != nil {
			return err
		}
		l.mesh.o.Handlers.countsPushed(l.peer.ID, c)
		return l.conn.Reply(ctx, req.ID, ack{})
	case methodCounts:
		return l.conn.Reply(ctx, req.ID, countsResult{Counts: l.mesh.o.Handlers.counts()})
	default:
		return fmt.Errorf("%w: method %q", errMalformed, req.Method)
	}
	return nil
}

func (l *link) handleStateUpdate(update stateUpdate) error {
	peer := l.peer
	if update.Leaving {
		peer.State = member.Leaving
	}
	l.mesh.o.Registry.Merge(peer, 0)
	l.mu.Lock()
	if update.Relay != nil {
		l.peerWantsRelay = *update.Relay
	}
	for _, st := range update.States {
		if l.peerStamps[st.Origin].less(st.Stamp) {
			l.peerStamps[st.Origin] = st.Stamp
		}
	}
	l.mu.Unlock()
	for _, st := range update.States {
		if err := l.mesh.mergeState(st); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) handleNotices(n notices) {
	for _, record := range n.Notices {
		notice := record.notice()
		l.mu.Lock()
		l.receivedNotices[notice.Key()] = true
		l.mu.Unlock()
		l.mesh.o.Notices.Add(notice)
	}
}

func (l *link) handleEvidence(e crashEvidence) {
	if l.mesh.o.Evidence == nil {
		return
	}
	for _, piece := range e.Evidence {
		l.mesh.o.Evidence.Add(l.evidenceSource(), piece)
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
	result := templateResult{Found: ok}
	result.Body, result.Packed = l.mesh.packer.pack(body)
	return l.conn.Reply(ctx, req.ID, result)
}

func (l *link) handleReserve(ctx context.Context, req *jsonrpc2.Request) error {
	var p reserveParams
	if err := params(req, &p); err != nil {
		return err
	}
	if len(p.Levels) > 0 {
		return l.conn.Reply(ctx, req.ID, reserveResult{Levels: l.mesh.o.Handlers.levels(l.peer.ID, p.Levels), NotOwner: true})
	}
	reservation, isOwner := l.mesh.o.Handlers.reserve(p)
	return l.conn.Reply(ctx, req.ID, reserveResult{WaitMS: wholeMilliseconds(reservation.Delay), Reserved: reservation.OK, NotOwner: !isOwner})
}

// wholeMilliseconds rounds up, because a delay of 0 means that the units were
// reserved.
func wholeMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// handleChanges waits for changes on a goroutine of its own, so that the
// reading goroutine doesn't block.
func (l *link) handleChanges(ctx context.Context, req *jsonrpc2.Request) error {
	var p changesParams
	if err := params(req, &p); err != nil {
		return err
	}
	select {
	case l.changeCalls <- struct{}{}:
	default:
		return l.replyError(ctx, req.ID, errBusy)
	}
	wait := min(time.Duration(p.WaitMS)*time.Millisecond, maxChangeWait)
	l.mesh.calls.Go(func() {
		defer func() { <-l.changeCalls }()
		update, err := l.mesh.o.Handlers.changes(ctx, p.Feed, p.After, wait)
		switch {
		case errors.Is(err, infra.ErrCompacted):
			_ = l.conn.Reply(ctx, req.ID, changesResult{Compacted: true})
		case errors.Is(err, follow.ErrUnavailable):
			_ = l.conn.Reply(ctx, req.ID, changesResult{Unavailable: true})
		case err != nil:
			_ = l.replyError(ctx, req.ID, err)
		default:
			_ = l.conn.Reply(ctx, req.ID, changesOf(update, &l.mesh.packer))
		}
	})
	return nil
}

// handleHandoff runs the handoff on a goroutine of its own, because it may wait
// for the table.
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

// fail records the first error of the link and closes the connection.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	l.mu.Unlock()
	_ = l.conn.Close()
}

// close closes the connection and waits until its reading goroutine has ended.
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

// wakeUp makes the writing goroutine send urgent changes without waiting for
// the next state update.
func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func params(req *jsonrpc2.Request, v any) error {
	if req.Params == nil {
		return fmt.Errorf("%w: no parameters", errMalformed)
	}
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}
