package template

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Rows of a template. A version has two rows, so that a history is read
// without the bodies; both are written once, with the head that names them.
const (
	headPrefix  = "template/head/"
	entryPrefix = "template/log/"
	bodyPrefix  = "template/body/"
	draftPrefix = "template/draft/"
)

func headKey(name string) string { return headPrefix + name }

func entryKey(name string, version uint64) string {
	return fmt.Sprintf("%s%s/%020d", entryPrefix, name, version)
}

func bodyKey(name string, version uint64) string {
	return fmt.Sprintf("%s%s/%020d", bodyPrefix, name, version)
}

func draftKey(name, id string) string { return draftPrefix + name + "/" + id }

// Head names the version of a template that is in force.
type Head struct {
	Name string `json:"name"`
	// Version is 0 where no version was approved yet.
	Version uint64 `json:"version"`
	// DraftID is the draft that became the version, Attempt the call of
	// Approve that wrote it.
	DraftID string `json:"draft_id"`
	Attempt string `json:"attempt"`
}

// HistoryEntry says where a version came from.
type HistoryEntry struct {
	Version    uint64 `json:"version"`
	Base       uint64 `json:"base"`
	DraftID    string `json:"draft_id"`
	Author     string `json:"author"`
	ApprovedBy string `json:"approved_by"`
	// ApprovedAt is for people to read; nothing is decided by it.
	ApprovedAt time.Time `json:"approved_at"`
}

// Draft is an edit that is not in force yet.
type Draft struct {
	ID     string `json:"id"`
	Name   string `json:"name"`
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// EditedAt is for people to read; nothing is decided by it.
	EditedAt time.Time `json:"edited_at"`
	Template *Template `json:"template"`
}

// ConflictError says that a template changed since the version an edit began
// from. Nothing was written.
type ConflictError struct {
	Name string `json:"name"`
	// Base is the version the edit began from, Head the one in force.
	Base uint64 `json:"base"`
	Head uint64 `json:"head"`
	// Theirs is what changed between Base and Head, Ours what the refused
	// edit changes of Base, as by Diff.
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

// Encode returns the form of a template in rows and between entries.
func Encode(t *Template) ([]byte, error) { return json.Marshal(t) }

// Decode reads what Encode wrote. Only a whole and valid template is returned.
func Decode(data []byte) (*Template, error) {
	t := new(Template)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("%w: text after its end", ErrInvalid)
	}
	if err := Validate(t); err != nil {
		return nil, err
	}
	return t, nil
}
