package callerapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/tmaxmax/go-sse"

	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// chunk is the JSON form of one event of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// completion is a complete answer, sent as one JSON object.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Message      completionReply `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

type completionReply struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// output writes one answer to the client, either as a stream of events or as
// one JSON object at the end. It implements delivery.Output.
type output struct {
	c           *gin.Context
	control     *http.ResponseController
	id          string
	model       string
	stream      bool
	created     int64
	headersSent bool
	text        strings.Builder
	summary     delivery.Summary
}

func (s *Server) newOutput(c *gin.Context, id, model string, stream bool) *output {
	return &output{
		c:       c,
		control: http.NewResponseController(c.Writer),
		id:      id,
		model:   model,
		stream:  stream,
		created: time.Now().Unix(),
	}
}

// Bound implements delivery.Output. The engine has accepted the request, so the
// headers can be sent.
func (o *output) Bound(endpointID string) error {
	if o.headersSent {
		return nil
	}
	o.c.Header(HeaderEndpoint, endpointID)
	if o.stream {
		o.sendHeaders()
	}
	return nil
}

// sendHeaders sends the headers of a stream, unless they were sent before.
func (o *output) sendHeaders() {
	if o.headersSent {
		return
	}
	o.headersSent = true
	o.c.Header("Content-Type", "text/event-stream")
	o.c.Header("Cache-Control", "no-cache")
	o.c.Status(http.StatusOK)
	setWriteDeadline(o.c)
	o.c.Writer.WriteHeaderNow()
	_ = o.control.Flush()
}

// Write implements delivery.Output.
func (o *output) Write(p delivery.Chunk) error {
	if !o.stream {
		o.text.WriteString(p.Text)
		return nil
	}
	o.sendHeaders()
	id := strconv.Itoa(p.Offset + p.Tokens)
	return o.sendEvent(id, o.chunk(delta{Role: "assistant", Content: p.Text}, nil))
}

// End implements delivery.Output.
func (o *output) End(s delivery.Summary) error {
	o.summary = s
	if !o.stream {
		return nil
	}
	o.sendHeaders()
	if err := o.sendEvent("", o.chunk(delta{}, &s.FinishReason)); err != nil {
		return err
	}
	return o.writeMessage("", "[DONE]")
}

func (o *output) chunk(d delta, finish *string) chunk {
	return chunk{
		ID:      o.id,
		Object:  "chat.completion.chunk",
		Created: o.created,
		Model:   o.model,
		Choices: []chunkChoice{{Delta: d, FinishReason: finish}},
	}
}

func (o *output) sendEvent(id string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return o.writeMessage(id, string(data))
}

func (o *output) writeMessage(id, data string) error {
	m := sse.Message{}
	m.AppendData(data)
	if id != "" {
		m.ID = sse.ID(id)
	}
	setWriteDeadline(o.c)
	if _, err := m.WriteTo(o.c.Writer); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *output) completion() completion {
	s := o.summary
	return completion{
		ID:      o.id,
		Object:  "chat.completion",
		Created: o.created,
		Model:   o.model,
		Choices: []completionChoice{{
			Message:      completionReply{Role: "assistant", Content: o.text.String()},
			FinishReason: s.FinishReason,
		}},
		Usage: usage{
			PromptTokens:     s.PromptTokens,
			CompletionTokens: s.Tokens,
			TotalTokens:      s.PromptTokens + s.Tokens,
		},
	}
}

// finish ends the response. If err is nil, it sends the complete answer, unless
// the answer was streamed. Otherwise it sends the error: with its status code
// if no headers were sent yet, or as an event of the stream.
func (s *Server) finish(c *gin.Context, o *output, err error) {
	switch {
	case err == nil && !o.stream:
		setWriteDeadline(c)
		c.JSON(http.StatusOK, o.completion())
	case err == nil:
	case o.headersSent:
		s.failStream(o, err)
	default:
		s.fail(c, err)
	}
}

// failStream sends an error as an event of a stream that has started. The
// stream then ends without "[DONE]", so that no client mistakes its text for a
// complete answer.
func (s *Server) failStream(o *output, err error) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		err = verdict.Wrap(verdict.MayHaveRun, err)
	}
	if sendErr := o.sendEvent("", newErrorBody(err)); sendErr != nil {
		s.deps.Log.WithField("request", o.id).WithError(err).Info("callerapi: client disconnected.")
	}
}
