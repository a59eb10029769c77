package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// chatRequest holds the supported fields of an OpenAI chat completion request.
type chatRequest struct {
	Model               string             `json:"model"`
	Messages            []endpoint.Message `json:"messages"`
	Stream              bool               `json:"stream"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
}

// check validates the fields that don't depend on the template.
func (r *chatRequest) check() error {
	if r.Model == "" || len(r.Model) > maxNameBytes {
		return invalid("model is missing or longer than %d bytes", maxNameBytes)
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return invalid("max_tokens is negative")
	}
	if len(r.Messages) == 0 {
		return invalid("messages is empty")
	}
	for i, m := range r.Messages {
		if m.Role == "" {
			return invalid("message %d has no role", i)
		}
	}
	return nil
}

func (s *Server) chat(c *gin.Context) {
	request, stream, err := s.parseChat(c)
	if err != nil {
		s.fail(c, err)
		return
	}
	c.Header(HeaderRequestID, request.ID)
	c.Header(HeaderTemplateVersion, fmt.Sprint(request.TemplateVersion))
	ticket, err := s.admit(c, request)
	if err != nil {
		s.fail(c, err)
		return
	}
	request.Ticket = ticket
	if request.Kind.Delivery == template.DeliveryDurable {
		s.serveDurable(c, request, stream)
		return
	}
	s.serveAttached(c, request, stream)
}

// admit requests admission. The ticket must be released with Done when the
// answer ends.
func (s *Server) admit(c *gin.Context, r *delivery.Request) (*admission.Ticket, error) {
	return s.deps.Admission.Admit(c.Request.Context(), admission.Request{
		RequestID:     r.ID,
		Customer:      r.Customer.Name,
		Kind:          r.Kind.Name,
		Urgency:       r.Kind.Urgency,
		Tokens:        r.PromptTokens + r.MaxTokens,
		Deadline:      r.Kind.Deadline.Std(),
		PredictedWait: func() time.Duration { return s.deps.Answers.PredictedWait(r) },
	})
}

func (s *Server) serveAttached(c *gin.Context, r *delivery.Request, stream bool) {
	out := s.newOutput(c, r.ID, r.Model, stream)
	c.Header(HeaderDurability, string(template.DeliveryAttached))
	s.finish(c, out, s.deps.Answers.RunAttached(c.Request.Context(), r, out))
}

func (s *Server) serveDurable(c *gin.Context, r *delivery.Request, stream bool) {
	id, err := s.deps.Answers.StartDurable(c.Request.Context(), r)
	if err != nil {
		if s.fallsBackToAttached(r, err) {
			s.serveAttached(c, r, stream)
			return
		}
		// The request was not started, so nothing else releases the ticket.
		r.Ticket.Done(admission.Usage{})
		s.fail(c, err)
		return
	}
	c.Header(HeaderRequestID, id)
	c.Header(HeaderDurability, string(template.DeliveryDurable))
	if strings.Contains(c.GetHeader(HeaderPrefer), "respond-async") {
		c.Header("Location", "/v1/requests/"+id)
		c.JSON(http.StatusAccepted, gin.H{"id": id, "status": "accepted"})
		return
	}
	out := s.newOutput(c, id, r.Model, stream)
	if stream {
		// The request is recorded. Sending the headers now gives the client
		// the ID before the first token, so that the client can resume the
		// stream at any entry.
		out.sendHeaders()
	}
	s.finish(c, out, s.deps.Answers.Follow(c.Request.Context(), r.Customer.Name, id, 0, out))
}

// fallsBackToAttached reports whether a durable request that could not be
// recorded may run as an attached request, which lasts only as long as the
// client stays connected.
func (s *Server) fallsBackToAttached(r *delivery.Request, err error) bool {
	return r.Kind.Outage == template.OutageAttached &&
		verdict.Of(err) == verdict.NotRun &&
		verdict.CodeOf(err) == verdict.CodeUnavailable
}

func (s *Server) parseChat(c *gin.Context) (*delivery.Request, bool, error) {
	body, err := s.readBody(c)
	if err != nil {
		return nil, false, err
	}
	var in chatRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, false, invalid("body is no chat request: %w", err)
	}
	if err := in.check(); err != nil {
		return nil, false, err
	}
	key, err := singleHeader(c, HeaderIdempotencyKey, maxKeyBytes)
	if err != nil {
		return nil, false, err
	}
	kindName, err := singleHeader(c, HeaderRequestKind, maxNameBytes)
	if err != nil {
		return nil, false, err
	}
	t, customer := requestTemplate(c), requestCustomer(c)
	kind, err := kindOf(t.Template, customer, kindName, in.Model)
	if err != nil {
		return nil, false, err
	}
	version, ok := t.Template.ModelVersion(customer, kind.Model)
	if !ok {
		return nil, false, invalid("unknown model %q", kind.Model)
	}
	hashes, tokens := prefix.Hashes(customer.Name, prefix.Text(in.Messages))
	return &delivery.Request{
		ID:              s.deps.NewID(),
		Customer:        customer,
		Kind:            kind,
		TemplateVersion: t.Template.Version,
		Model:           kind.Model,
		Version:         version,
		Messages:        in.Messages,
		Hashes:          hashes,
		PromptTokens:    tokens,
		MaxTokens:       effectiveMaxTokens(in, kind),
		IdempotencyKey:  key,
	}, in.Stream, nil
}

// effectiveMaxTokens returns the token limit that the client requests, or that
// of the kind if the client requests none or a higher one.
func effectiveMaxTokens(in chatRequest, kind template.Kind) int {
	requested := max(in.MaxTokens, in.MaxCompletionTokens)
	if requested <= 0 || requested > kind.MaxTokens {
		return kind.MaxTokens
	}
	return requested
}

// kindOf returns the request kind with the given name, or the first attached
// kind of the model if the name is empty. It considers only kinds that the
// customer may use.
func kindOf(t *template.Template, customer template.Customer, name, model string) (template.Kind, error) {
	if !slices.ContainsFunc(t.Models, func(m template.Model) bool { return m.Name == model }) {
		return template.Kind{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "unknown model %q", model)
	}
	for _, kind := range t.Kinds {
		if !mayUse(customer, kind) || kind.Model != model {
			continue
		}
		if kind.Name == name || (name == "" && kind.Delivery == template.DeliveryAttached) {
			return kind, nil
		}
	}
	return template.Kind{}, invalid("model %q has no request kind %q for this customer", model, name)
}

func mayUse(customer template.Customer, kind template.Kind) bool {
	return len(customer.Kinds) == 0 || slices.Contains(customer.Kinds, kind.Name)
}
