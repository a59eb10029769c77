package standin

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Touched says how many hosts an admin call changed.
type Touched struct {
	Hosts int `json:"hosts"`
}

// handler serves the platform, and the admin interface under /admin/. Hosts
// are chosen by the parameters "host" or "failure_domain"; without either,
// all are.
func (d *Deployment) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.Platform.Handler())
	mux.HandleFunc("GET /admin/hosts", admin(d.adminHosts))
	mux.HandleFunc("GET /admin/records", admin(func(*http.Request) (any, error) { return d.Records(), nil }))
	mux.HandleFunc("POST /admin/reclaim", admin(d.adminReclaim))
	mux.HandleFunc("POST /admin/kill", admin(d.adminKill))
	mux.HandleFunc("POST /admin/faults/engines", admin(d.adminEngineFaults))
	mux.HandleFunc("POST /admin/faults/services", admin(d.adminServiceFaults))
	return mux
}

func admin(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := f(r)
		if err != nil {
			httpjson.WriteError(w, err)
			return
		}
		httpjson.Write(w, value)
	}
}

func (d *Deployment) adminHosts(*http.Request) (any, error) {
	hosts := d.Hosts()
	slices.SortFunc(hosts, func(a, b infra.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts, nil
}

func (d *Deployment) adminReclaim(r *http.Request) (any, error) {
	notice, err := time.ParseDuration(r.URL.Query().Get("notice"))
	if err != nil || notice < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "notice %q is no duration", r.URL.Query().Get("notice"))
	}
	return d.eachHost(r, func(id string) bool { return d.Reclaim(id, notice) })
}

func (d *Deployment) adminKill(r *http.Request) (any, error) {
	return d.eachHost(r, d.Kill)
}

// eachHost applies f to the chosen hosts. It refuses to choose all, so that a
// misspelt parameter does not take the whole deployment away.
func (d *Deployment) eachHost(r *http.Request, f func(hostID string) bool) (any, error) {
	q := r.URL.Query()
	if q.Get("host") == "" && q.Get("failure_domain") == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "name a host or a failure_domain")
	}
	touched := Touched{}
	for _, m := range d.chosen(r) {
		if f(m.host.ID) {
			touched.Hosts++
		}
	}
	if touched.Hosts == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such host")
	}
	return touched, nil
}

// chosen returns the running machines that a request chooses.
func (d *Deployment) chosen(r *http.Request) []*machine {
	host, domain := r.URL.Query().Get("host"), r.URL.Query().Get("failure_domain")
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*machine
	for _, m := range d.machines {
		if (host == "" || m.host.ID == host) && (domain == "" || m.host.FailureDomain == domain) {
			out = append(out, m)
		}
	}
	return out
}

// adminEngineFaults replaces the faults of all chosen engines.
func (d *Deployment) adminEngineFaults(r *http.Request) (any, error) {
	var f enginestandin.EngineFaults
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	touched := Touched{}
	for _, m := range d.chosen(r) {
		if m.engine != nil {
			m.engine.SetFaults(f)
			touched.Hosts++
		}
	}
	return touched, nil
}

// adminServiceFaults replaces the faults of all services on the chosen hosts.
func (d *Deployment) adminServiceFaults(r *http.Request) (any, error) {
	var f enginestandin.ServiceFaults
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	touched := Touched{}
	for _, m := range d.chosen(r) {
		for _, s := range m.service {
			s.SetFaults(f)
		}
		touched.Hosts++
	}
	return touched, nil
}
