package callerapi

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/delivery"
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
	c.Header(HeaderTemplateVersion, fmt.Sprint(templateIn(c).Template.Version))
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
		if notPassed[name] {
			continue
		}
		for _, v := range values {
			c.Writer.Header().Add(name, v)
		}
	}
	c.Header(HeaderEndpoint, endpointID)
	c.Header(HeaderVerdict, verdict.Ran.String())
	c.Status(status)
	boundWrite(c)
	_, _ = c.Writer.Write(body)
}

// notPassed are headers of a service's reply that are not passed on: they
// belong to one connection, or to this interface.
var notPassed = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	HeaderRequestID:       true,
	HeaderEndpoint:        true,
	HeaderTemplateVersion: true,
	HeaderDurability:      true,
	HeaderVerdict:         true,
}

// serviceCall checks a call against the template.
func serviceCall(c *gin.Context, body []byte) (delivery.ServiceCall, error) {
	t, customer := templateIn(c), customerIn(c)
	name := c.Param("service")
	path := c.Param("path")
	if err := checkPath(c.Request.URL); err != nil {
		return delivery.ServiceCall{}, err
	}
	service, ok := t.Service(name)
	if !ok {
		return delivery.ServiceCall{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "unknown service %q", clip(name))
	}
	route := routeOf(service, c.Request.Method, path)
	key, err := singleHeader(c, HeaderIdempotencyKey, maxKeyBytes)
	if err != nil {
		return delivery.ServiceCall{}, err
	}
	if !route.Repeatable && key == "" {
		return delivery.ServiceCall{}, invalid("this call may not be repeated: header %s is missing", HeaderIdempotencyKey)
	}
	kind, ok := t.Kind(route.Kind)
	if ok && !mayUse(customer, kind) {
		return delivery.ServiceCall{}, invalid("request kind %q is not for this customer", kind.Name)
	}
	target := url.URL{Path: path, RawQuery: c.Request.URL.RawQuery}
	return delivery.ServiceCall{
		Customer:   customer.Name,
		Service:    name,
		Kind:       kind,
		Repeatable: route.Repeatable,
		Key:        key,
		Method:     c.Request.Method,
		Path:       target.RequestURI(),
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
