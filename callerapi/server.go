package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Names of the HTTP headers of the client interface.
const (
	HeaderRequestID       = "X-Request-Id"
	HeaderRequestKind     = "X-Request-Kind"
	HeaderEndpoint        = "X-Endpoint"
	HeaderTemplateVersion = "X-Template-Version"
	HeaderDurability      = "X-Durability"
	HeaderVerdict         = "X-Verdict"
	HeaderIdempotencyKey  = "Idempotency-Key"
	HeaderLastEventID     = "Last-Event-ID"
	HeaderPrefer          = "Prefer"
)

// writeTimeout limits one write to a client that reads slowly.
const writeTimeout = 30 * time.Second

// Templates provides the template in force.
type Templates interface {
	// Index returns nil until the first template has been read.
	Index() *template.Index
	// Fresh returns false if the entry may have missed a newer version.
	Fresh() bool
}

// Admission admits requests. *admission.Controller implements it.
type Admission interface {
	Admit(ctx context.Context, r admission.Request) (*admission.Ticket, error)
}

// Answers runs chat requests and streams the answers of durable ones.
// *delivery.Service implements it.
type Answers interface {
	RunAttached(ctx context.Context, r *delivery.Request, out delivery.Output) error
	StartDurable(ctx context.Context, r *delivery.Request) (string, error)
	Follow(ctx context.Context, customer, id string, from int, out delivery.Output) error
	Status(ctx context.Context, customer, id string) (delivery.Status, error)
	PredictedWait(r *delivery.Request) time.Duration
}

// Services calls plain services. *delivery.Services implements it.
type Services interface {
	Call(ctx context.Context, c delivery.ServiceCall) (endpoint.Reply, string, error)
}

// Gate is the drain gate. It counts requests in flight, and refuses new ones
// once the entry drains.
type Gate interface {
	// Enter returns false once the entry accepts no new requests.
	Enter() bool
	// Leave must be called once for each Enter that returned true.
	Leave()
}

// Deps are the dependencies of a Server. All fields are required.
type Deps struct {
	Templates Templates
	Admission Admission
	Answers   Answers
	Services  Services
	Gate      Gate
	Limits    settings.Limits
	Log       *logrus.Entry
	// NewID returns a unique request ID.
	NewID func() string
}

// Server is the HTTP handler of the client interface. It is safe for concurrent
// use.
type Server struct {
	deps   Deps
	engine *gin.Engine
}

// New returns a Server.
func New(deps Deps) *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{deps: deps, engine: gin.New()}
	// A redirect would make the client send its request a second time.
	s.engine.RedirectTrailingSlash = false
	s.engine.Use(gin.CustomRecovery(s.handlePanic), s.setBodyDeadline)
	work := s.engine.Group("/", s.admitWork, s.authenticate)
	work.POST("/v1/chat/completions", s.chat)
	work.Any("/services/:service/*path", s.service)
	read := s.engine.Group("/", s.rejectBody, s.authenticate)
	read.GET("/v1/models", s.models)
	read.GET("/v1/requests/:id", s.requestStatus)
	read.GET("/v1/requests/:id/stream", s.enterGate, s.requestStream)
	s.engine.NoRoute(s.noRoute)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.engine.ServeHTTP(w, r)
}

func (s *Server) handlePanic(c *gin.Context, cause any) {
	s.deps.Log.WithField("cause", cause).Error("callerapi: handler panicked.")
	s.fail(c, errPanicked)
}

// admitWork refuses new requests while the entry drains or may have missed a
// newer template. It holds the drain gate until the request ends, so that a
// draining entry waits for it.
func (s *Server) admitWork(c *gin.Context) {
	if !s.deps.Gate.Enter() {
		s.fail(c, errDraining)
		return
	}
	defer s.deps.Gate.Leave()
	if s.deps.Templates.Index() == nil || !s.deps.Templates.Fresh() {
		s.fail(c, errNotReady)
		return
	}
	c.Next()
}

// enterGate holds the drain gate while a client reads a stream, so that a
// draining entry waits for it. A draining entry refuses new streams; the client
// can read them at another entry.
func (s *Server) enterGate(c *gin.Context) {
	if !s.deps.Gate.Enter() {
		s.fail(c, errDraining)
		return
	}
	defer s.deps.Gate.Leave()
	c.Next()
}
