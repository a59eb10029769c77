package template

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/coltsfootcleat/coltsfootcleat/internal/tomlfile"
)

// Fault is one fault of a template file, with its file, line and key.
type Fault = tomlfile.Fault

// Faults lists all faults of a template file. It implements error.
type Faults = tomlfile.Faults

// ErrInvalid is wrapped by the error for a template that breaks a rule and was
// not read from a file.
var ErrInvalid = errors.New("template is not valid")

// Parse reads a template from TOML; file is the name that faults are reported
// under. The error is of type Faults.
func Parse(file string, data []byte) (*Template, error) {
	t := new(Template)
	doc := tomlfile.Decode(file, data, t)
	doc.Check(t.problems())
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// Validate checks a template that was read from a table row or received from a
// peer.
func Validate(t *Template) error {
	problems := t.problems()
	if len(problems) == 0 {
		return nil
	}
	first := problems[0]
	return fmt.Errorf("%w: %s: %s (%d faults)", ErrInvalid, first.Key, first.Text, len(problems))
}

// Format returns the template as TOML, which Parse accepts.
func Format(t *Template) ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.SetIndentTables(false)
	if err := enc.Encode(t); err != nil {
		return nil, fmt.Errorf("template: format: %w", err)
	}
	return b.Bytes(), nil
}
