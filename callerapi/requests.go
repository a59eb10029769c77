package callerapi

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// requestStatus returns the state of a durable request, with the answer once
// it is complete.
func (s *Server) requestStatus(c *gin.Context) {
	status, err := s.deps.Answers.Status(c.Request.Context(), requestCustomer(c).Name, c.Param("id"))
	if err != nil {
		s.fail(c, err)
		return
	}
	setDurableHeaders(c, status)
	setWriteDeadline(c)
	c.JSON(http.StatusOK, status)
}

// requestStream streams the answer of a durable request, starting at a token
// offset.
func (s *Server) requestStream(c *gin.Context) {
	from, err := offsetOf(c)
	if err != nil {
		s.fail(c, err)
		return
	}
	id, customer := c.Param("id"), requestCustomer(c).Name
	status, err := s.deps.Answers.Status(c.Request.Context(), customer, id)
	if err != nil {
		s.fail(c, err)
		return
	}
	setDurableHeaders(c, status)
	out := s.newOutput(c, id, status.Model, true)
	s.finish(c, out, s.deps.Answers.Follow(c.Request.Context(), customer, id, from, out))
}

func setDurableHeaders(c *gin.Context, status delivery.Status) {
	c.Header(HeaderRequestID, status.ID)
	c.Header(HeaderDurability, string(template.DeliveryDurable))
	c.Header(HeaderTemplateVersion, fmt.Sprint(status.TemplateVersion))
}

// offsetOf returns the token offset from the query parameter "from" or else
// from the header Last-Event-ID; it is 0 if both are absent.
func offsetOf(c *gin.Context) (int, error) {
	text := c.Query("from")
	if text == "" {
		text = c.GetHeader(HeaderLastEventID)
	}
	if text == "" {
		return 0, nil
	}
	from, err := strconv.Atoi(text)
	if err != nil || from < 0 {
		return 0, invalid("offset is no whole number of tokens")
	}
	return from, nil
}

// model is one element of the model list.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(c *gin.Context) {
	t := requestTemplate(c).Template
	list := make([]model, 0, len(t.Models))
	for _, m := range t.Models {
		list = append(list, model{ID: m.Name, Object: "model", OwnedBy: t.Name})
	}
	setWriteDeadline(c)
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": list})
}
