package verdict_test

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func TestVerdictOfErrors(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.CodeLimited, "limit: %w", io.EOF).WithRetryAfter(time.Second)
	cases := []struct {
		name  string
		err   error
		want  verdict.Verdict
		code  verdict.Code
		after time.Duration
	}{
		{"unclassified", io.EOF, verdict.MayHaveRun, verdict.CodeInternal, 0},
		{"classified", notRun, verdict.NotRun, verdict.CodeLimited, time.Second},
		{"wrapped by fmt.Errorf", fmt.Errorf("outer: %w", notRun), verdict.NotRun, verdict.CodeLimited, time.Second},
		{"outermost verdict wins", verdict.Wrap(verdict.Ran, notRun), verdict.Ran, verdict.CodeLimited, time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(verdict.Of(tc.err), qt.Equals, tc.want)
			c.Assert(verdict.CodeOf(tc.err), qt.Equals, tc.code)
			c.Assert(verdict.RetryAfterOf(tc.err), qt.Equals, tc.after)
			c.Assert(errors.Is(tc.err, io.EOF), qt.IsTrue)
		})
	}
	qt.Assert(t, verdict.Wrap(verdict.NotRun, nil), qt.IsNil)
}

func TestUnknownWireFormsAreMayHaveRun(t *testing.T) {
	c := qt.New(t)
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		c.Assert(verdict.Parse(v.String()), qt.Equals, v)
	}
	c.Assert(verdict.Parse("not run"), qt.Equals, verdict.MayHaveRun)
	c.Assert(verdict.Parse(""), qt.Equals, verdict.MayHaveRun)
}
