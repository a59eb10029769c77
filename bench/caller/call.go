package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

// call sends a call of a plain service until its outcome is known or the
// caller's patience ends. Every try has the same key.
func (c *Callers) call(ctx context.Context, q workload.Request) history.Record {
	r := history.Record{Outcome: history.Unknown}
	began := time.Now()
	pause := firstPause
	for {
		r.Attempts++
		err := c.callOnce(ctx, q)
		switch {
		case err == nil:
			r.Outcome = history.Whole
			r.FirstToken = time.Since(began)
			return r
		case notRun(err):
			r.Outcome = history.NotRun
		default:
			r.Outcome = history.Unknown
		}
		r.Detail = err.Error()
		if final(err) || !ctxtime.Sleep(ctx, pause) {
			return r
		}
		pause = min(2*pause, longestPause)
	}
}

func (c *Callers) callOnce(ctx context.Context, q workload.Request) error {
	url := fmt.Sprintf("http://%s/services/%s%s", c.entry(), q.Class.Call.Service, q.Class.Call.Path)
	req, err := c.newRequest(ctx, q.Class.Call.Method, url, q, q.Body)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failureOf(resp)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
