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

// errCut says that a stream ended before its end mark.
var errCut = errors.New("stream ended before its end mark")

// chat sends a chat request and reads its answer. A durable answer is
// followed over several connections; an attached one is sent again only
// where nothing ran.
func (c *Callers) chat(ctx context.Context, q workload.Request) history.Record {
	a := &answer{began: time.Now(), rest: c.wanted(q)}
	r := history.Record{Outcome: history.Unknown}
	pause := firstPause
	for {
		r.Attempts++
		err := c.chatOnce(ctx, q, a)
		if err == nil {
			break
		}
		r.Detail = err.Error()
		if a.crossed || a.short || final(err) || !c.mayRepeat(q, a, err) || !ctxtime.Sleep(ctx, pause) {
			a.err = err
			break
		}
		pause = min(2*pause, longestPause)
	}
	a.describe(&r)
	return r
}

// mayRepeat says whether a caller tries again after err.
func (c *Callers) mayRepeat(q workload.Request, a *answer, err error) bool {
	if q.Class.Chat.Durable {
		return true
	}
	return !a.accepted && notRun(err)
}

func (c *Callers) chatOnce(ctx context.Context, q workload.Request, a *answer) error {
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
	req, err := c.newRequest(ctx, http.MethodPost, "http://"+c.entry()+"/v1/chat/completions", q, string(body))
	if err != nil {
		return err
	}
	return c.read(req, a)
}

// follow reads the rest of a durable answer, from any entry.
func (c *Callers) follow(ctx context.Context, q workload.Request, a *answer) error {
	url := fmt.Sprintf("http://%s/v1/requests/%s/stream?from=%d", c.entry(), a.id, a.tokens)
	req, err := c.newRequest(ctx, http.MethodGet, url, q, "")
	if err != nil {
		return err
	}
	return c.read(req, a)
}

func (c *Callers) read(req *http.Request, a *answer) error {
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failureOf(resp)
	}
	a.accepted = true
	if resp.Header.Get("X-Durability") == "durable" {
		a.id = resp.Header.Get("X-Request-Id")
	}
	return a.read(resp.Body)
}

// answer is a caller's view of one answer.
type answer struct {
	began time.Time
	// rest holds what is missing of each answer that may still be right.
	rest     []string
	id       string
	accepted bool
	tokens   int
	whole    bool
	crossed  bool
	short    bool
	first    time.Duration
	last     time.Time
	gaps     []time.Duration
	err      error
}

// event is the part of a streamed event that a caller looks at.
type event struct {
	Error *struct{ Message, Verdict string }

	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

func (a *answer) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			a.whole = true
			return a.compare()
		}
		if err := a.event(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errCut
}

func (a *answer) event(data []byte) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Error != nil {
		return &failure{status: http.StatusOK, verdict: e.Error.Verdict, message: e.Error.Message}
	}
	for _, choice := range e.Choices {
		a.add(choice.Delta.Content)
	}
	return a.compare()
}

func (a *answer) add(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	n := prefix.Count(text)
	if a.tokens == 0 {
		a.first = now.Sub(a.began)
	} else {
		gap := now.Sub(a.last) / time.Duration(max(1, n))
		for range n {
			a.gaps = append(a.gaps, gap)
		}
	}
	a.last = now
	a.tokens += n
	a.rest = slices.DeleteFunc(a.rest, func(rest string) bool { return !strings.HasPrefix(rest, text) })
	for i := range a.rest {
		a.rest[i] = a.rest[i][len(text):]
	}
}

// compare holds the text so far against the right answers.
func (a *answer) compare() error {
	if len(a.rest) == 0 {
		a.crossed = true
		return fmt.Errorf("text differs from the right answer within its first %d tokens", a.tokens)
	}
	if a.whole && !slices.Contains(a.rest, "") {
		a.short = true
		return fmt.Errorf("answer of %d tokens was passed on as whole", a.tokens)
	}
	return nil
}

// wanted returns the right answers to a request, one for each version.
func (c *Callers) wanted(q workload.Request) []string {
	prompt := prefix.Text(q.Messages)
	tokens := enginestandin.AnswerTokens(prompt, q.Class.Chat.MaxTokens)
	out := make([]string, 0, len(c.options.Versions))
	for _, version := range c.options.Versions {
		out = append(out, enginestandin.Answer(q.Class.Chat.Model, version, prompt, tokens))
	}
	return out
}

func (a *answer) describe(r *history.Record) {
	r.Accepted = a.accepted
	r.Cut = a.err != nil && !a.short && !a.crossed
	r.FirstToken = a.first
	r.Gaps = a.gaps
	r.Tokens = a.tokens
	switch {
	case a.crossed:
		r.Outcome = history.Crossed
	case a.err == nil:
		r.Outcome = history.Whole
		r.Detail = ""
	case a.accepted:
		r.Outcome = history.Lost
	case notRun(a.err):
		r.Outcome = history.NotRun
	}
}
