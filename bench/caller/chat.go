package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

// errTruncated is returned if a stream ends before its end mark.
var errTruncated = errors.New("stream ended before its end mark")

// chat sends a chat request and reads its answer. A durable answer is read over
// several connections if one breaks. An attached request is sent again only if
// it has not run.
func (c *Clients) chat(ctx context.Context, q workload.Request) history.Record {
	a := &answer{began: time.Now(), remaining: c.expectedAnswers(q)}
	r := history.Record{Outcome: history.MayHaveRun}
	backoff := initialBackoff
	for {
		r.Attempts++
		err := c.chatOnce(ctx, q, a)
		if err == nil {
			break
		}
		r.Detail = err.Error()
		if a.misdelivered || a.incomplete || isPermanent(err) || !c.mayRetry(q, a, err) || !ctxtime.Sleep(ctx, backoff) {
			a.err = err
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	a.fillRecord(&r)
	return r
}

// mayRetry reports whether a client makes another attempt after err.
func (c *Clients) mayRetry(q workload.Request, a *answer, err error) bool {
	if q.Class.Chat.Durable {
		return true
	}
	return !a.accepted && isNotRun(err)
}

func (c *Clients) chatOnce(ctx context.Context, q workload.Request, a *answer) error {
	if a.id != "" && q.Class.Chat.Durable {
		return c.follow(ctx, q, a)
	}
	body, err := json.Marshal(map[string]any{
		"model": q.Class.Chat.Model, "stream": true,
		"max_tokens": q.Class.Chat.MaxTokens, "messages": q.Messages,
	})
	if err != nil {
		return err
	}
	req, err := c.newRequest(ctx, http.MethodPost, "http://"+c.pickEntry()+"/v1/chat/completions", q, string(body))
	if err != nil {
		return err
	}
	return c.fetchAnswer(req, a)
}

// follow reads the rest of a durable answer from any entry.
func (c *Clients) follow(ctx context.Context, q workload.Request, a *answer) error {
	url := fmt.Sprintf("http://%s/v1/requests/%s/stream?from=%d", c.pickEntry(), a.id, a.tokens)
	req, err := c.newRequest(ctx, http.MethodGet, url, q, "")
	if err != nil {
		return err
	}
	return c.fetchAnswer(req, a)
}

func (c *Clients) fetchAnswer(req *http.Request, a *answer) error {
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readErrorReply(resp)
	}
	a.accepted = true
	if resp.Header.Get("X-Durability") == "durable" {
		a.id = resp.Header.Get("X-Request-Id")
	}
	return a.readStream(resp.Body)
}

// answer is the state of one answer as the client received it.
type answer struct {
	began time.Time
	// remaining holds what is missing of each correct answer that begins
	// with the text received so far.
	remaining        []string
	id               string
	accepted         bool
	tokens           int
	endMarkSeen      bool
	misdelivered     bool
	incomplete       bool
	timeToFirstToken time.Duration
	lastTokenAt      time.Time
	tokenGaps        []time.Duration
	err              error
}

// event holds the fields of a streamed event that the client reads.
type event struct {
	Error *struct{ Message, Verdict string }

	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

func (a *answer) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			a.endMarkSeen = true
			return a.checkText()
		}
		if err := a.handleEvent(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errTruncated
}

func (a *answer) handleEvent(data []byte) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Error != nil {
		return &errorReply{status: http.StatusOK, verdict: e.Error.Verdict, message: e.Error.Message}
	}
	for _, choice := range e.Choices {
		a.addText(choice.Delta.Content)
	}
	return a.checkText()
}

func (a *answer) addText(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	n := prefix.Count(text)
	if a.tokens == 0 {
		a.timeToFirstToken = now.Sub(a.began)
	} else {
		gap := now.Sub(a.lastTokenAt) / time.Duration(max(1, n))
		for range n {
			a.tokenGaps = append(a.tokenGaps, gap)
		}
	}
	a.lastTokenAt = now
	a.tokens += n
	a.remaining = slices.DeleteFunc(a.remaining, func(rest string) bool { return !strings.HasPrefix(rest, text) })
	for i := range a.remaining {
		a.remaining[i] = a.remaining[i][len(text):]
	}
}

// checkText checks the text received so far against the correct answers.
func (a *answer) checkText() error {
	if len(a.remaining) == 0 {
		a.misdelivered = true
		return fmt.Errorf("text differs from the correct answer within its first %d tokens", a.tokens)
	}
	if a.endMarkSeen && !slices.Contains(a.remaining, "") {
		a.incomplete = true
		return fmt.Errorf("incomplete answer of %d tokens was marked as complete", a.tokens)
	}
	return nil
}

// expectedAnswers returns the correct answers to a request, one for each model
// version.
func (c *Clients) expectedAnswers(q workload.Request) []string {
	prompt := prefix.Text(q.Messages)
	tokens := enginestandin.AnswerTokens(prompt, q.Class.Chat.MaxTokens)
	out := make([]string, 0, len(c.options.Versions))
	for _, version := range c.options.Versions {
		out = append(out, enginestandin.Answer(q.Class.Chat.Model, version, prompt, tokens))
	}
	return out
}

func (a *answer) fillRecord(r *history.Record) {
	r.Accepted = a.accepted
	r.Interrupted = a.err != nil && !a.incomplete && !a.misdelivered
	r.FirstToken = a.timeToFirstToken
	r.Gaps = a.tokenGaps
	r.Tokens = a.tokens
	switch {
	case a.misdelivered:
		r.Outcome = history.Misdelivered
	case a.err == nil:
		r.Outcome = history.Complete
		r.Detail = ""
	case a.accepted:
		r.Outcome = history.Lost
	case isNotRun(a.err):
		r.Outcome = history.NotRun
	}
}
