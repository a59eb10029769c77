package job

import (
	"context"
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// prompt is the value of a request row.
type prompt struct {
	Messages []byte `json:"messages,omitempty"`
	Object   string `json:"object,omitempty"`
}

// storeText keeps a text in its row, or puts a large one under name in the
// object store. The object stands before the row that names it.
func (s *Store) storeText(ctx context.Context, name, text string) (Text, error) {
	if len(text) <= s.opt.InlineBytes {
		return Text{Inline: text}, nil
	}
	if err := s.objects.Put(ctx, name, []byte(text)); err != nil {
		return Text{}, fmt.Errorf("job: store text: %w", err)
	}
	return Text{Object: name}, nil
}

// fetchText brings a text back inline.
func (s *Store) fetchText(ctx context.Context, t *Text) error {
	if t.Object == "" {
		return nil
	}
	body, ok, err := s.objects.Get(ctx, t.Object)
	if err != nil {
		return verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("job: fetch text: %w", err))
	}
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "job: text %q is gone", t.Object)
	}
	t.Inline = string(body)
	return nil
}

func (s *Store) fetchTexts(ctx context.Context, r *Record) error {
	if r.Answer != nil {
		return s.fetchText(ctx, &r.Answer.Text)
	}
	return s.fetchText(ctx, &r.Checkpoint.Text)
}

// storePrompt returns the value of the request row.
func (s *Store) storePrompt(ctx context.Context, r Record) ([]byte, error) {
	messages, err := encode(r.Messages)
	if err != nil {
		return nil, err
	}
	if len(messages) <= s.opt.InlineBytes {
		return encode(prompt{Messages: messages})
	}
	name := objectName(&r, "prompt")
	if err := s.objects.Put(ctx, name, messages); err != nil {
		// Nothing was accepted, whatever became of the object.
		return nil, verdict.Wrap(verdict.NotRun, fmt.Errorf("job: store prompt: %w", err))
	}
	return encode(prompt{Object: name})
}

// fetchPrompt fills in the messages.
func (s *Store) fetchPrompt(ctx context.Context, r *Record) error {
	row, ok, err := s.read(ctx, r.requestRow())
	if err != nil {
		return err
	}
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "job: prompt of %s is gone", r.ID)
	}
	var p prompt
	if err := decode(row.Value, &p); err != nil {
		return err
	}
	if p.Object != "" {
		text := Text{Object: p.Object}
		if err := s.fetchText(ctx, &text); err != nil {
			return err
		}
		p.Messages = []byte(text.Inline)
	}
	return decode(p.Messages, &r.Messages)
}

// objectName names an object of a request; part tells its objects apart.
func objectName(r *Record, part string) string {
	return key(jobPrefix, r.Customer, r.ID, part)
}
