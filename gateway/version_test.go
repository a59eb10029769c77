package gateway_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollout"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// newVersionedEntry returns an entry with a replica r0 of version v1 and a replica r1
// of version v2 on trial, for which there is a number of permits.
func newVersionedEntry(t *testing.T, permits int, r0, r1 script) (*testEntry, *rollout.Gate) {
	e := newTestEntry(t, testConfiguration(), r0, r1)
	for id, version := range map[string]string{"r0": "v1", "r1": "v2"} {
		r := e.set.Current().All[id].Registration
		r.Version = version
		e.set.Put(r)
	}
	g := rollout.NewGate(func(service string) []*replica.Replica { return e.set.Current().Ready[service] }, nolog.Or(nil))
	g.SetOrder(time.Now(), rollout.Order{Service: "s", To: "v2", Duration: time.Minute})
	g.Apply("s", peer.RolloutReply{Fence: 1, To: "v2", Stage: string(rollout.Trial), Allowed: []string{"v1"}, Permits: permits, Endpoints: 1}, time.Now(), time.Second)
	e.handler.Rollouts = g
	return e, g
}

func (e *testEntry) replicasOfRequests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, r := range e.received {
		out = append(out, r[:2])
	}
	return out
}

// Requests reach a version on trial without a permit: those that may run only once,
// retries, resumed streams, and those after the permit has lapsed.
func TestVersionOnTrialGetsOnlyPermittedRequests(t *testing.T) {
	for _, test := range []struct {
		name    string
		permits int
		wait    time.Duration
		paths   []string
		r0, r1  script
		want    []string
	}{
		{"one permit", 1, 0, []string{"/safe/x", "/safe/x", "/safe/x"}, answerOK, answerOK, []string{"r1", "r0", "r0"}},
		{"no permit", 0, 0, []string{"/safe/x", "/safe/x"}, answerOK, answerOK, []string{"r0", "r0"}},
		{"lapsed", 2, time.Second, []string{"/safe/x"}, answerOK, answerOK, []string{"r0"}},
		{"once", 1, 0, []string{"/once/x", "/safe/x"}, answerOK, answerOK, []string{"r0", "r1"}},
		{"retry", 2, 0, []string{"/safe/x"}, answerOK, answerStatus(500, ""), []string{"r1", "r0"}},
		{"retry of the old version", 0, 0, []string{"/safe/x"}, answerStatus(500, ""), answerOK, []string{"r0"}},
		{"resumed", 0, 0, []string{"/resume/x"}, answerEvents(3, false), answerEvents(3, true), []string{"r0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, _ := newVersionedEntry(t, test.permits, test.r0, test.r1)
				time.Sleep(test.wait)
				for _, path := range test.paths {
					_, _, _ = e.get(t, path)
				}
				qt.Check(t, e.replicasOfRequests(), qt.DeepEquals, test.want)
			})
		})
	}
}

// Answers aren't evidence on their version, or requests that end are counted as in
// progress.
func TestAnswersAreEvidenceOnTheirVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, g := newVersionedEntry(t, 3, answerAfter(20*time.Millisecond), answerStatus(500, ""))
		for range 3 {
			_, _, _ = e.get(t, "/safe/x")
		}
		_, _, _ = e.get(t, "/stream/x")
		r := g.Report(time.Now(), "s", "1")
		qt.Check(t, r.Requests, qt.Equals, 4)
		qt.Check(t, r.OldInFlight, qt.Equals, 0)
		safe := r.Routes["safe"]
		qt.Check(t, safe.New.Failed, qt.Equals, 3)
		qt.Check(t, safe.New.Answered, qt.Equals, 0)
		qt.Check(t, safe.Old.Answered, qt.Equals, 3)
		qt.Check(t, len(safe.Old.First), qt.Not(qt.Equals), 0)
	})
}

// The address of a replica on trial is used by another service, which refuses requests, and
// that counts against the version.
func TestRefusalOfAnotherServiceIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, g := newVersionedEntry(t, 3, answerAfter(20*time.Millisecond), answerStatus(421, "Not-Run: 1\r\n"))
		for range 3 {
			response, _, _ := e.get(t, "/safe/x")
			qt.Check(t, response.StatusCode, qt.Equals, 200)
		}
		safe := g.Report(time.Now(), "s", "1").Routes["safe"]
		qt.Check(t, safe.New, qt.DeepEquals, peer.VersionEvidence{})
		qt.Check(t, safe.Old.Answered, qt.Equals, 3)
	})
}

// The line of a request doesn't name the version, or doesn't say that the request was tried
// on one that isn't proved, also if another version answered it in the end.
func TestLineOfARequestNamesTheVersion(t *testing.T) {
	for _, test := range []struct {
		permits int
		r0, r1  script
		version any
		onTrial any
	}{
		{1, answerOK, answerOK, "v2", true}, {0, answerOK, answerOK, "v1", nil},
		{1, answerOK, answerStatus(http.StatusInternalServerError, ""), nil, true},
		{1, answerStatus(http.StatusInternalServerError, ""), answerStatus(http.StatusInternalServerError, ""), nil, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			e, _ := newVersionedEntry(t, test.permits, test.r0, test.r1)
			log := logrus.New()
			log.SetFormatter(&logrus.JSONFormatter{})
			var lines bytes.Buffer
			log.SetOutput(&lines)
			e.handler.Log = logrus.NewEntry(log)
			_, _, _ = e.get(t, "/safe/x")
			synctest.Wait()
			var line map[string]any
			qt.Assert(t, json.Unmarshal(lines.Bytes(), &line), qt.IsNil)
			qt.Check(t, line["msg"], qt.Equals, "gateway: request ended.")
			if test.version != nil {
				qt.Check(t, line["version"], qt.Equals, test.version)
			}
			qt.Check(t, line["version"], qt.Equals, map[any]string{"r0": "v1", "r1": "v2"}[line["replica"]])
			qt.Check(t, line["version_on_trial"], qt.Equals, test.onTrial)
		})
	}
}
