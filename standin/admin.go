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

// AffectedHosts is the JSON answer to an admin call that changes hosts. Hosts
// is their number.
type AffectedHosts struct {
	Hosts int `json:"hosts"`
}

// handler serves the platform, and the admin interface under /admin/. The query
// parameters "host" and "failure_domain" select hosts; without either, all are
// selected.
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

// admin returns a handler that writes the result of f as JSON.
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
	return d.forEachSelectedHost(r, func(id string) bool { return d.Reclaim(id, notice) })
}

func (d *Deployment) adminKill(r *http.Request) (any, error) {
	return d.forEachSelectedHost(r, d.Kill)
}

// forEachSelectedHost applies f to the selected hosts. It refuses requests
// that select no hosts explicitly, so that a misspelt parameter does not stop
// the whole deployment.
func (d *Deployment) forEachSelectedHost(r *http.Request, f func(hostID string) bool) (any, error) {
	q := r.URL.Query()
	if q.Get("host") == "" && q.Get("failure_domain") == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "name a host or a failure_domain")
	}
	affected := AffectedHosts{}
	for _, m := range d.selectedMachines(r) {
		if f(m.host.ID) {
			affected.Hosts++
		}
	}
	if affected.Hosts == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such host")
	}
	return affected, nil
}

// selectedMachines returns the running machines that a request selects.
func (d *Deployment) selectedMachines(r *http.Request) []*machine {
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

// adminEngineFaults replaces the faults of all engines on the selected hosts.
func (d *Deployment) adminEngineFaults(r *http.Request) (any, error) {
	var f enginestandin.EngineFaults
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	affected := AffectedHosts{}
	for _, m := range d.selectedMachines(r) {
		if m.engine != nil {
			m.engine.SetFaults(f)
			affected.Hosts++
		}
	}
	return affected, nil
}

// adminServiceFaults replaces the faults of all services on the selected hosts.
func (d *Deployment) adminServiceFaults(r *http.Request) (any, error) {
	var f enginestandin.ServiceFaults
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	affected := AffectedHosts{}
	for _, m := range d.selectedMachines(r) {
		for _, s := range m.services {
			s.SetFaults(f)
		}
		affected.Hosts++
	}
	return affected, nil
}
