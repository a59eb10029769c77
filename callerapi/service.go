package callerapi

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// service calls a plain service.
func (s *Server) service(c *gin.Context) {
	body, err := s.readBody(c)
	if err != nil {
		s.fail(c, err)
		return
	}
	call, err := serviceCall(c, body)
	if err != nil {
		s.fail(c, err)
		return
	}
	call.RequestID = s.deps.NewID()
	c.Header(HeaderRequestID, call.RequestID)
	ticket, err := s.deps.Admission.Admit(c.Request.Context(), admission.Request{
		RequestID: call.RequestID,
		Customer:  call.Customer,
		Kind:      call.Kind.Name,
		Urgency:   call.Kind.Urgency,
		Tokens:    1,
		Deadline:  call.Kind.Deadline.Std(),
	})
	if err != nil {
		s.fail(c, err)
		return
	}
	defer ticket.Done(admission.Usage{Tokens: 1})
	reply, endpointID, err := s.deps.Services.Call(c.Request.Context(), call)
	if err != nil {
		s.fail(c, err)
		return
	}
	writeReply(c, reply.Status, reply.Header, endpointID, reply.Body)
}

func writeReply(c *gin.Context, status int, header http.Header, endpointID string, body []byte) {
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, v := range values {
			c.Writer.Header().Add(name, v)
		}
	}
	c.Header(HeaderEndpoint, endpointID)
	c.Header(HeaderVerdict, verdict.Ran.String())
	c.Status(status)
	_, _ = c.Writer.Write(body)
}

// hopByHop headers belong to one connection and are not passed on.
var hopByHop = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// serviceCall checks a call against the template.
func serviceCall(c *gin.Context, body []byte) (delivery.ServiceCall, error) {
	t, customer := templateIn(c), customerIn(c)
	name := c.Param("service")
	path := strings.TrimPrefix(c.Request.URL.EscapedPath(), "/services/"+name)
	if strings.Contains(path, "..") || strings.Contains(path, "//") {
		return delivery.ServiceCall{}, invalid("path %q is not clean", path)
	}
	service, ok := t.Service(name)
	if !ok {
		return delivery.ServiceCall{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "unknown service %q", name)
	}
	route := routeOf(service, c.Request.Method, path)
	key := c.GetHeader(HeaderIdempotencyKey)
	if !route.Repeatable && key == "" {
		return delivery.ServiceCall{}, invalid("%s %s may not be repeated: header %s is missing", c.Request.Method, path, HeaderIdempotencyKey)
	}
	kind, ok := t.Kind(route.Kind)
	if ok && !mayUse(customer, kind) {
		return delivery.ServiceCall{}, invalid("request kind %q is not for this customer", kind.Name)
	}
	if raw := c.Request.URL.RawQuery; raw != "" {
		path += "?" + raw
	}
	return delivery.ServiceCall{
		Customer:   customer.Name,
		Service:    name,
		Kind:       kind,
		Repeatable: route.Repeatable,
		Key:        key,
		Method:     c.Request.Method,
		Path:       path,
		Header:     passedHeaders(c.Request.Header),
		Body:       body,
	}, nil
}

// passedHeaders are the caller's headers that a service may see. The API key
// is not among them.
func passedHeaders(in http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := in.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

// routeOf returns the route of a call. What no route names may not be
// repeated.
func routeOf(s template.Service, method, path string) template.Route {
	for _, r := range s.Routes {
		if r.Method != method {
			continue
		}
		if r.Path == path {
			return r
		}
		if p, ok := strings.CutSuffix(r.Path, "*"); ok && strings.HasPrefix(path, p) {
			return r
		}
	}
	return template.Route{Method: method, Path: path}
}
