package operatorapi

import (
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func (s *Server) listTemplates(c *gin.Context) {
	heads, err := s.deps.Templates.List(c.Request.Context())
	s.respond(c, heads, err)
}

func (s *Server) showTemplate(c *gin.Context) {
	version, err := versionParam(c, "version")
	if err != nil {
		s.fail(c, err)
		return
	}
	t, err := s.deps.Templates.Get(c.Request.Context(), c.Param("name"), version)
	if err != nil {
		s.fail(c, err)
		return
	}
	text, err := template.Format(t)
	s.respond(c, TemplateBody{Name: t.Name, Version: t.Version, TOML: string(text)}, err)
}

func (s *Server) history(c *gin.Context) {
	entries, err := s.deps.Templates.History(c.Request.Context(), c.Param("name"))
	s.respond(c, entries, err)
}

// diff returns the difference between the versions "from" and "to", which
// default to the version in force, or between a draft and its base version.
func (s *Server) diff(c *gin.Context) {
	text, err := s.diffText(c)
	s.respond(c, DiffReply{Diff: text}, err)
}

func (s *Server) diffText(c *gin.Context) (string, error) {
	ctx, name := c.Request.Context(), c.Param("name")
	from, err := versionParam(c, "from")
	if err != nil {
		return "", err
	}
	to, err := versionParam(c, "to")
	if err != nil {
		return "", err
	}
	if id := c.Query("draft"); id != "" {
		d, err := s.deps.Templates.Draft(ctx, name, id)
		if err != nil {
			return "", err
		}
		return s.draftDiff(c, d)
	}
	before, err := s.deps.Templates.Get(ctx, name, from)
	if err != nil {
		return "", err
	}
	after, err := s.deps.Templates.Get(ctx, name, to)
	if err != nil {
		return "", err
	}
	return template.Diff(before, after), nil
}

// draftDiff returns the difference between a draft and its base version.
func (s *Server) draftDiff(c *gin.Context, d template.Draft) (string, error) {
	base := new(template.Template)
	if d.Base > 0 {
		found, err := s.deps.Templates.Get(c.Request.Context(), d.Name, d.Base)
		if err != nil {
			return "", err
		}
		base = found
	}
	return template.Diff(base, d.Template), nil
}

func (s *Server) edit(c *gin.Context) {
	var req EditRequest
	if !s.bind(c, &req) {
		return
	}
	d, err := s.createDraft(c, req)
	if err != nil {
		s.fail(c, err)
		return
	}
	s.deps.Log.WithField("template", d.Name).WithField("draft", d.ID).WithField("author", d.Author).
		Info("operator: draft recorded.")
	s.respond(c, s.draftReply(c, d), nil)
}

func (s *Server) createDraft(c *gin.Context, req EditRequest) (template.Draft, error) {
	name := c.Param("name")
	if req.Author == "" {
		return template.Draft{}, verdict.New(verdict.NotRun, verdict.CodeInvalid, "author is missing")
	}
	t, err := template.Parse(req.File, []byte(req.TOML))
	if err != nil {
		return template.Draft{}, wrapFaults(err)
	}
	if t.Name != name {
		return template.Draft{}, verdict.New(verdict.NotRun, verdict.CodeInvalid,
			"the file is of template %q, not %q", t.Name, name)
	}
	return s.deps.Templates.Edit(c.Request.Context(), req.Base, req.Author, t)
}

// draftReply describes a draft. It omits the diff if the base version can't be
// read, because the draft is already recorded.
func (s *Server) draftReply(c *gin.Context, d template.Draft) EditReply {
	reply := EditReply{DraftID: d.ID, Base: d.Base, Author: d.Author}
	if text, err := s.draftDiff(c, d); err == nil {
		reply.Diff = text
	}
	return reply
}

func (s *Server) approve(c *gin.Context) {
	var req ApproveRequest
	if !s.bind(c, &req) {
		return
	}
	if req.Author == "" || req.DraftID == "" {
		s.fail(c, verdict.New(verdict.NotRun, verdict.CodeInvalid, "author or draft_id is missing"))
		return
	}
	name := c.Param("name")
	version, err := s.deps.Templates.Approve(c.Request.Context(), name, req.DraftID, req.Author)
	if err == nil {
		s.deps.Log.WithField("template", name).WithField("version", version).WithField("author", req.Author).
			Info("operator: version approved.")
	}
	s.respond(c, ApproveReply{Version: version}, err)
}

func (s *Server) templateStatus(c *gin.Context) {
	status, err := s.loadTemplateStatus(c)
	s.respond(c, status, err)
}

func (s *Server) loadTemplateStatus(c *gin.Context) (TemplateStatus, error) {
	ctx, name := c.Request.Context(), c.Param("name")
	head, err := s.deps.Templates.Head(ctx, name)
	if err != nil {
		return TemplateStatus{}, err
	}
	drafts, err := s.deps.Templates.Drafts(ctx, name)
	if err != nil {
		return TemplateStatus{}, err
	}
	state, err := s.deps.Status.Status(ctx)
	if err != nil {
		return TemplateStatus{}, err
	}
	out := TemplateStatus{Name: name, Head: head.Version, Entries: state.Entries, Drafts: []EditReply{}}
	for _, d := range drafts {
		out.Drafts = append(out.Drafts, EditReply{DraftID: d.ID, Base: d.Base, Author: d.Author})
	}
	return out, nil
}

// versionParam returns the version number in a query parameter, or 0 if the
// parameter is absent.
func versionParam(c *gin.Context, name string) (uint64, error) {
	text := c.Query(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s must be a version number, not %q", name, text)
	}
	return n, nil
}

// bind decodes a JSON body. If it can't, it sends an error response and returns
// false.
func (s *Server) bind(c *gin.Context, into any) bool {
	if err := c.ShouldBindJSON(into); err != nil {
		s.fail(c, verdict.New(verdict.NotRun, verdict.CodeInvalid, "decode body: %w", err))
		return false
	}
	return true
}

// respond sends err if it is not nil, or else body.
func (s *Server) respond(c *gin.Context, body any, err error) {
	if err != nil {
		s.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, body)
}
