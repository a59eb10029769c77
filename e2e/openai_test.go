package e2e

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sashabaranov/go-openai"
)

// openAIClient returns a client of an OpenAI-compatible library that sends its
// requests to an entry.
func openAIClient(e *entry, key string) *openai.Client {
	config := openai.DefaultConfig(key)
	config.BaseURL = "http://" + e.clientAddr + "/v1"
	return openai.NewClientWithConfig(config)
}

func openAIRequest(question string, maxTokens int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model:               model,
		MaxCompletionTokens: maxTokens,
		Messages:            []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: question}},
	}
}

// readAll reads a stream to its end mark, which the library reports as io.EOF,
// and returns its text and finish reason.
func readAll(c *qt.C, stream *openai.ChatCompletionStream) (string, openai.FinishReason) {
	c.Helper()
	var (
		text   strings.Builder
		reason openai.FinishReason
	)
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), reason
		}
		c.Assert(err, qt.IsNil)
		c.Assert(chunk.Model, qt.Equals, model)
		c.Assert(chunk.Choices, qt.HasLen, 1)
		text.WriteString(chunk.Choices[0].Delta.Content)
		if r := chunk.Choices[0].FinishReason; r != "" {
			reason = r
		}
	}
}

func TestOpenAIClientLibrary(t *testing.T) {
	const question = "which wick for a wide jar"
	c := qt.New(t)
	s := startSystem(t, 80, 2)
	for i, e := range s.entries {
		client := openAIClient(e, customerKey)

		models, err := client.ListModels(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(models.Models, qt.HasLen, 1)
		c.Assert(models.Models[0].ID, qt.Equals, model)
		c.Assert(models.Models[0].OwnedBy, qt.Equals, deployment)

		completion, err := client.CreateChatCompletion(t.Context(), openAIRequest(question, 60))
		c.Assert(err, qt.IsNil)
		c.Assert(completion.Choices, qt.HasLen, 1)
		choice := completion.Choices[0]
		c.Assert(choice.Message.Content, qt.Equals, wantAnswer(question, 60))
		c.Assert(choice.Message.Role, qt.Equals, openai.ChatMessageRoleAssistant)
		c.Assert(choice.FinishReason == openai.FinishReasonStop || choice.FinishReason == openai.FinishReasonLength, qt.IsTrue)
		c.Assert(completion.Usage.CompletionTokens, qt.Equals, len(strings.Fields(choice.Message.Content)))
		c.Assert(completion.Usage.TotalTokens, qt.Equals, completion.Usage.PromptTokens+completion.Usage.CompletionTokens)

		stream, err := client.CreateChatCompletionStream(t.Context(), openAIRequest(question, 60))
		c.Assert(err, qt.IsNil)
		defer stream.Close()
		text, reason := readAll(c, stream)
		c.Assert(text, qt.Equals, choice.Message.Content)
		c.Assert(reason, qt.Equals, choice.FinishReason)
		c.Assert(stream.Header().Get("X-Request-Id"), qt.Not(qt.Equals), "")
		c.Assert(s.records().Totals.Attempts, qt.Equals, int64(2*(i+1)))
	}
}

// TestOpenAIClientLibraryParsesErrors checks that the library parses error
// replies to streamed and unstreamed requests.
func TestOpenAIClientLibraryParsesErrors(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 81, 1)
	unknown := openAIRequest("q", 10)
	unknown.Model = "gone"
	tests := []struct {
		key     string
		request openai.ChatCompletionRequest
		status  int
		code    string
	}{
		{"nobody", openAIRequest("q", 10), http.StatusUnauthorized, "unauthorized"},
		{customerKey, unknown, http.StatusNotFound, "not_found"},
		{customerKey, openAIRequest("q", -1), http.StatusBadRequest, "invalid_request"},
		{customerKey, openAIRequest(strings.Repeat("x", 4<<20), 10), http.StatusRequestEntityTooLarge, "too_large"},
	}
	for _, test := range tests {
		client := openAIClient(s.entries[0], test.key)
		_, completionErr := client.CreateChatCompletion(t.Context(), test.request)
		_, streamErr := client.CreateChatCompletionStream(t.Context(), test.request)
		for _, err := range []error{completionErr, streamErr} {
			var parsed *openai.APIError
			c.Assert(errors.As(err, &parsed), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(parsed.HTTPStatusCode, qt.Equals, test.status)
			c.Assert(parsed.Code, qt.Equals, any(test.code))
			c.Assert(parsed.Type, qt.Equals, "invalid_request_error")
			c.Assert(parsed.Message, qt.Contains, "not_run")
		}
	}
	c.Assert(s.records().Totals.Attempts, qt.Equals, int64(0))
}
