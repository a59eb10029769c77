package template

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Key prefixes of the rows of a template. A version has two rows, one for its
// history entry and one for its body, so that the history can be read without
// the bodies. Both are written once, in the same commit as the head that names
// the version.
const (
	headPrefix    = "template/head/"
	historyPrefix = "template/log/"
	bodyPrefix    = "template/body/"
	draftPrefix   = "template/draft/"
)

func headKey(name string) string { return headPrefix + name }

func historyKey(name string, version uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, name, version)
}

func bodyKey(name string, version uint64) string {
	return fmt.Sprintf("%s%s/%020d", bodyPrefix, name, version)
}

func draftKey(name, id string) string { return draftPrefix + name + "/" + id }

// Head names the version of a template that is in force.
type Head struct {
	Name string `json:"name"`
	// Version is 0 until a version has been approved.
	Version uint64 `json:"version"`
	// DraftID identifies the draft that became the version, and Attempt the
	// call of Approve that wrote it.
	DraftID string `json:"draft_id"`
	Attempt string `json:"attempt"`
}

// HistoryEntry records the origin of a version.
type HistoryEntry struct {
	Version    uint64 `json:"version"`
	Base       uint64 `json:"base"`
	DraftID    string `json:"draft_id"`
	Author     string `json:"author"`
	ApprovedBy string `json:"approved_by"`
	// ApprovedAt is informational only; no decision depends on it.
	ApprovedAt time.Time `json:"approved_at"`
}

// Draft is an edit that has not been approved yet.
type Draft struct {
	ID     string `json:"id"`
	Name   string `json:"name"`
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// EditedAt is informational only; no decision depends on it.
	EditedAt time.Time `json:"edited_at"`
	Template *Template `json:"template"`
}

// ConflictError reports that the template has changed since the version that an
// edit is based on. Nothing was written.
type ConflictError struct {
	Name string `json:"name"`
	// Base is the version that the edit is based on, and Head the one in force.
	Base uint64 `json:"base"`
	Head uint64 `json:"head"`
	// Theirs lists the changes from Base to Head, and Ours those from Base to
	// the refused edit, both as returned by Diff.
	Theirs string `json:"theirs"`
	Ours   string `json:"ours"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("template %s is at version %d, the edit began from %d", e.Name, e.Head, e.Base)
}

func notFound(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, format, args...)
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, format, args...)
}

// Encode returns the JSON form of a template, which is used in table rows and
// between entries.
func Encode(t *Template) ([]byte, error) { return json.Marshal(t) }

// Decode reads the output of Encode. It returns only a complete and valid
// template.
func Decode(data []byte) (*Template, error) {
	t := new(Template)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("%w: unexpected data after the template", ErrInvalid)
	}
	if err := Validate(t); err != nil {
		return nil, err
	}
	return t, nil
}
