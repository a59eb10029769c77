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

// call sends a call of a plain service until its outcome is known or the client
// timeout ends. Every attempt has the same idempotency key.
func (c *Clients) call(ctx context.Context, q workload.Request) history.Record {
	r := history.Record{Outcome: history.MayHaveRun}
	began := time.Now()
	backoff := initialBackoff
	for {
		r.Attempts++
		err := c.callOnce(ctx, q)
		switch {
		case err == nil:
			r.Outcome = history.Complete
			r.FirstToken = time.Since(began)
			return r
		case isNotRun(err):
			r.Outcome = history.NotRun
		default:
			r.Outcome = history.MayHaveRun
		}
		r.Detail = err.Error()
		if isPermanent(err) || !ctxtime.Sleep(ctx, backoff) {
			return r
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Clients) callOnce(ctx context.Context, q workload.Request) error {
	url := fmt.Sprintf("http://%s/services/%s%s", c.pickEntry(), q.Class.Call.Service, q.Class.Call.Path)
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
		return readErrorReply(resp)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
