package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Event is one line of the record.
type Event struct {
	// Kind is what happened, such as "sent", "answered" or "run".
	Kind string
	// Request is the attempt's id, At the process or replica, Key the key that was
	// seen there.
	Request, At, Tenant, Key string
	Status                   int
	Text                     string
	// Time is the time since the start of the record.
	Time time.Duration
}

// Record holds what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecord returns an empty Record.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add adds an event that happens now.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = time.Since(r.start)
	r.events = append(r.events, e)
}

// Note adds a line of text.
func (r *Record) Note(format string, args ...any) {
	r.Add(Event{Kind: "note", Text: fmt.Sprintf(format, args...)})
}

// Events returns a copy of all events.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, e := range r.Events() {
		fmt.Fprintf(w, "%9.3f %s", e.Time.Seconds(), e.Kind)
		for _, field := range []struct{ name, value string }{{"request", e.Request}, {"at", e.At}, {"tenant", e.Tenant}, {"key", e.Key}} {
			if field.value != "" {
				fmt.Fprintf(w, " %s=%q", field.name, field.value)
			}
		}
		if e.Status != 0 {
			fmt.Fprintf(w, " status=%d", e.Status)
		}
		if e.Text != "" {
			fmt.Fprintf(w, " %s", e.Text)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
