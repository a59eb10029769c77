// Package operatorapi implements the HTTP interface of an entry host for its
// operators: templates, status, drains, metrics and health. It also contains
// the Client that the commands of operators use.
//
// Each entry host serves one Server on a listener of its own. Requests need the
// operators' key, except those for health, readiness and metrics. Handlers run
// concurrently, one per request. Every error carries an execution verdict:
// whether the request may have taken effect.
package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxBodyBytes limits the body of a request or response.
const maxBodyBytes = 8 << 20

// Deps are the dependencies of a Server. All fields except Readiness, Metrics
// and Log are required.
type Deps struct {
	// KeySHA256 is the SHA-256 hash of the operators' key in lower-case hex.
	KeySHA256 string
	Templates Templates
	Status    StatusSource
	Drains    Drainer
	// Readiness lists the conditions that /readyz checks, in order. The entry
	// is ready if all are met.
	Readiness []Readiness
	// Metrics serves /metrics. If it is nil, there is no such path.
	Metrics http.Handler
	Log     *logrus.Entry
}

// Server serves the operators' interface. It is safe for concurrent use.
type Server struct {
	deps   Deps
	engine *gin.Engine
}

// New returns a Server.
func New(deps Deps) *Server {
	deps.Log = nolog.Or(deps.Log)
	gin.SetMode(gin.ReleaseMode)
	s := &Server{deps: deps, engine: gin.New()}
	s.routes()
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.engine }

func (s *Server) routes() {
	s.engine.Use(s.recoverPanic)
	s.engine.NoRoute(func(c *gin.Context) { s.fail(c, notFound(c)) })
	s.engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	s.engine.GET("/readyz", s.readyz)
	if s.deps.Metrics != nil {
		s.engine.GET("/metrics", gin.WrapH(s.deps.Metrics))
	}
	authorized := s.engine.Group("/", s.authorize, limitBody)
	authorized.GET("/status", s.status)
	authorized.GET("/drain", s.listDrains)
	authorized.POST("/drain", s.startDrain)
	authorized.GET("/templates", s.listTemplates)
	named := authorized.Group("/templates/:name")
	named.GET("", s.showTemplate)
	named.GET("/history", s.history)
	named.GET("/diff", s.diff)
	named.GET("/status", s.templateStatus)
	named.POST("/edit", s.edit)
	named.POST("/approve", s.approve)
}

// authorize refuses requests without the operators' key. It compares hashes of
// equal length in constant time.
func (s *Server) authorize(c *gin.Context) {
	key, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(s.deps.KeySHA256)) != 1 {
		s.fail(c, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "operators' key missing or wrong"))
		c.Abort()
	}
}

func limitBody(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
}

// recoverPanic turns a panic of a handler into an error response. The verdict
// is MayHaveRun, because the handler may have changed something before the
// panic.
func (s *Server) recoverPanic(c *gin.Context) {
	defer func() {
		if cause := recover(); cause != nil {
			s.deps.Log.WithField("cause", cause).Error("operator: handler panicked.")
			s.fail(c, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "internal error"))
			c.Abort()
		}
	}()
	c.Next()
}

func (s *Server) readyz(c *gin.Context) {
	for _, r := range s.deps.Readiness {
		if ok, reason := r.Ready(); !ok {
			c.String(http.StatusServiceUnavailable, "not ready: %s\n", reason)
			return
		}
	}
	c.String(http.StatusOK, "ready\n")
}

func notFound(c *gin.Context) error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path %s", c.Request.URL.Path)
}
