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

// service handles a call of a plain service.
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
	c.Header(HeaderTemplateVersion, fmt.Sprint(requestTemplate(c).Template.Version))
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
		if droppedHeaders[name] {
			continue
		}
		for _, v := range values {
			c.Writer.Header().Add(name, v)
		}
	}
	c.Header(HeaderEndpoint, endpointID)
	c.Header(HeaderVerdict, verdict.Ran.String())
	c.Status(status)
	setWriteDeadline(c)
	_, _ = c.Writer.Write(body)
}

// droppedHeaders are the headers of a service's reply that are not forwarded to
// the client: they apply to one connection, or this interface sets them.
var droppedHeaders = map[string]bool{
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

// serviceCall builds the call of a plain service from the request, and checks
// it against the template.
func serviceCall(c *gin.Context, body []byte) (delivery.ServiceCall, error) {
	t, customer := requestTemplate(c), requestCustomer(c)
	name := c.Param("service")
	path := c.Param("path")
	if err := checkPath(c.Request.URL); err != nil {
		return delivery.ServiceCall{}, err
	}
	service, ok := t.Service(name)
	if !ok {
		return delivery.ServiceCall{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "unknown service %q", truncate(name))
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
		Header:     forwardedHeaders(c.Request.Header),
		Body:       body,
	}, nil
}

// forwardedHeaders returns the client's headers that are forwarded to a
// service. The API key is not among them.
func forwardedHeaders(in http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := in.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}
