package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// kvStore holds exported and imported KV caches. The engine's lock guards it.
type kvStore struct {
	exported map[string]protocol.KVContent
	imported map[string]protocol.KVContent
	lastID   int
	// linkFreeAt is the time at which the link is free for the next transfer.
	linkFreeAt time.Time
}

func newKVStore() kvStore {
	return kvStore{
		exported: make(map[string]protocol.KVContent),
		imported: make(map[string]protocol.KVContent),
	}
}

// claim assigns an imported KV cache to the stream that refers to it, and
// removes it from the store: only one stream can use it.
func (k *kvStore) claim(s *stream) error {
	r := s.request
	if r.KV == "" {
		return nil
	}
	content, ok := k.imported[r.KV]
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "engine: no KV cache %q", r.KV)
	}
	fits := content.Customer == r.Customer && content.Model == r.Model && content.Version == r.Version && content.Seed == s.script.seed
	if !fits {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "engine: KV cache %q is of another prompt", r.KV)
	}
	delete(k.imported, r.KV)
	s.kvTokens = content.PromptTokens + min(content.Tokens, r.ResumeTokens)
	return nil
}

// Export implements endpoint.Engine. It returns at once; the time of the
// transfer is spent in Import.
func (e *Engine) Export(ctx context.Context, streamID string) (endpoint.KV, error) {
	if err := e.beginCall(ctx); err != nil {
		return endpoint.KV{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[streamID]
	if !ok {
		return endpoint.KV{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "engine: no stream %q", streamID)
	}
	if s.state != stateDecode {
		return endpoint.KV{}, verdict.New(verdict.NotRun, verdict.CodeConflict, "engine: stream %q is not decoding", streamID)
	}
	e.abortStreamLocked(s, errExported)
	e.kv.lastID++
	handle := fmt.Sprintf("%s-kv-%d", e.incarnation, e.kv.lastID)
	content := protocol.KVContent{
		Customer: s.request.Customer, Model: s.request.Model, Version: s.request.Version,
		Seed: s.script.seed, PromptTokens: s.attempt.PromptTokens, Tokens: s.finalTokens,
	}
	e.kv.exported[handle] = content
	e.afterLocked(e.cfg.Retention, func() { delete(e.kv.exported, handle) })
	return endpoint.KV{Source: e.cfg.Addr, Handle: handle, Bytes: e.kvBytes(content), Tokens: s.finalTokens}, nil
}

func (e *Engine) kvBytes(c protocol.KVContent) int64 {
	return int64(c.PromptTokens+c.Tokens) * e.cfg.KVBytesPerToken
}

// Import implements endpoint.Engine.
func (e *Engine) Import(ctx context.Context, kv endpoint.KV) (string, error) {
	if err := e.beginCall(ctx); err != nil {
		return "", err
	}
	content, err := e.fetch(ctx, kv)
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return "", crashedError()
	}
	e.kv.lastID++
	name := fmt.Sprintf("%s-import-%d", e.incarnation, e.kv.lastID)
	e.kv.imported[name] = content
	e.afterLocked(e.cfg.Retention, func() { delete(e.kv.imported, name) })
	return name, nil
}

// fetch reads an exported KV cache from the engine that exported it.
func (e *Engine) fetch(ctx context.Context, kv endpoint.KV) (protocol.KVContent, error) {
	var content protocol.KVContent
	address := "http://" + kv.Source + protocol.PathKV + "?" + url.Values{"handle": {kv.Handle}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return content, verdict.New(verdict.NotRun, verdict.CodeInvalid, "import: %w", err)
	}
	resp, _, err := e.transport.SendRepeatable(req)
	if err != nil {
		return content, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "import: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return content, httpjson.ReadError(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(&content); err != nil {
		return content, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "import: %w", err)
	}
	return content, nil
}

// transferKV waits as long as the transfer of an exported KV cache takes on the
// engine's single link, then returns it.
func (e *Engine) transferKV(ctx context.Context, handle string) (protocol.KVContent, error) {
	if err := e.beginCall(ctx); err != nil {
		return protocol.KVContent{}, err
	}
	content, wait, err := e.reserveTransfer(handle)
	if err != nil {
		return content, err
	}
	if err := sleep(ctx, wait); err != nil {
		return content, err
	}
	return content, e.beginCall(ctx)
}

// reserveTransfer reserves the link for a transfer, and returns the time until
// the transfer ends.
func (e *Engine) reserveTransfer(handle string) (protocol.KVContent, time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	content, ok := e.kv.exported[handle]
	if !ok {
		return content, 0, verdict.New(verdict.NotRun, verdict.CodeNotFound, "engine: no KV cache %q", handle)
	}
	now := time.Now()
	if e.kv.linkFreeAt.Before(now) {
		e.kv.linkFreeAt = now
	}
	e.kv.linkFreeAt = e.kv.linkFreeAt.Add(seconds(float64(e.kvBytes(content)) / e.cfg.KVBandwidth))
	return content, e.kv.linkFreeAt.Sub(now), nil
}
