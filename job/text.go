package job

import (
	"context"
	"errors"
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

var errTextNotFound = errors.New("text not found")

// storeText returns the text inline, or puts a large one in the object store.
// The object is written before the row that refers to it.
func (s *Store) storeText(ctx context.Context, r *Record, text string) (Text, error) {
	if len(text) <= s.opt.InlineBytes {
		return Text{Inline: text}, nil
	}
	name := s.objectName(r)
	if err := s.objects.Put(ctx, name, []byte(text)); err != nil {
		return Text{}, fmt.Errorf("job: store text: %w", err)
	}
	return Text{Object: name}, nil
}

// fetchText sets the inline text of t, which it reads from the object store
// unless t is stored inline.
func (s *Store) fetchText(ctx context.Context, t *Text) error {
	if t.Object == "" {
		return nil
	}
	body, ok, err := s.objects.Get(ctx, t.Object)
	if err != nil {
		return verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("job: fetch text: %w", err))
	}
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "job: %w: %q", errTextNotFound, t.Object)
	}
	t.Inline = string(body)
	return nil
}

// fetchTexts fetches the text of the answer, or of the checkpoint if there is
// no answer.
func (s *Store) fetchTexts(ctx context.Context, r *Record) error {
	if r.Answer != nil {
		return s.fetchText(ctx, &r.Answer.Text)
	}
	return s.fetchText(ctx, &r.Checkpoint.Text)
}

// storePrompt returns the value of the jobreq row. If the prompt is large, it
// is put in the object store instead, and the value is nil.
func (s *Store) storePrompt(ctx context.Context, r *Record) ([]byte, error) {
	messages, err := encode(r.Messages)
	if err != nil {
		return nil, err
	}
	r.PromptObject = ""
	if len(messages) <= s.opt.InlineBytes {
		return messages, nil
	}
	name := s.objectName(r)
	if err := s.objects.Put(ctx, name, messages); err != nil {
		// The request was not accepted, even if the object was written.
		return nil, verdict.Wrap(verdict.NotRun, fmt.Errorf("job: store prompt: %w", err))
	}
	r.PromptObject = name
	return nil, nil
}

// fetchPrompt reads the prompt and sets r.Messages.
func (s *Store) fetchPrompt(ctx context.Context, r *Record) error {
	if r.PromptObject != "" {
		text := Text{Object: r.PromptObject}
		if err := s.fetchText(ctx, &text); err != nil {
			return err
		}
		return decode([]byte(text.Inline), &r.Messages)
	}
	row, ok, err := s.read(ctx, r.requestRow())
	if err != nil {
		return err
	}
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "job: prompt of %s not found", r.ID)
	}
	return decode(row.Value, &r.Messages)
}

// objectName returns a new, unique name for an object of a request. If a write
// fails, its object can therefore be deleted without affecting those of other
// writes.
func (s *Store) objectName(r *Record) string {
	return key(jobPrefix, r.Customer, r.ID, s.opt.NewID())
}
