package operatorapi

import (
	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func (s *Server) status(c *gin.Context) {
	status, err := s.deps.Status.Status(c.Request.Context())
	s.respond(c, status, err)
}

func (s *Server) listDrains(c *gin.Context) {
	drains, err := s.deps.Drains.Drains(c.Request.Context())
	if drains == nil {
		drains = []DrainStatus{}
	}
	s.respond(c, drains, err)
}

func (s *Server) startDrain(c *gin.Context) {
	var target DrainTarget
	if !s.bind(c, &target) {
		return
	}
	if (target.Host == "") == (target.FailureDomain == "") {
		s.fail(c, verdict.New(verdict.NotRun, verdict.CodeInvalid, "name one of host and failure_domain"))
		return
	}
	if err := s.deps.Drains.Drain(c.Request.Context(), target); err != nil {
		s.fail(c, err)
		return
	}
	s.deps.Log.WithField("host", target.Host).WithField("failure_domain", target.FailureDomain).
		Info("operator: drain started.")
	s.listDrains(c)
}
