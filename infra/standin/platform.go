package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/protocol"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Platform holds all services of a platform in memory.
type Platform struct {
	Table       *Table
	Objects     *Objects
	HostList    *HostList
	Cloud       *Cloud
	WeightStore *WeightStore
}

// NewPlatform returns an empty platform; seed seeds its random faults.
func NewPlatform(seed uint64) *Platform {
	f := newFleet()
	return &Platform{
		Table:       NewTable(seed),
		Objects:     NewObjects(seed),
		HostList:    &HostList{fleet: f},
		Cloud:       newCloud(f),
		WeightStore: NewWeightStore(0, 1),
	}
}

// Close waits for delayed commits to take effect.
func (p *Platform) Close() { p.Table.Close() }

// Handler serves the platform over HTTP and JSON; package infra/rest is its
// client.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", jsonHandler(p.row))
	mux.HandleFunc("GET /table/rows", jsonHandler(p.rows))
	mux.HandleFunc("POST /table/commit", jsonHandler(p.commit))
	mux.HandleFunc("PUT /objects", jsonHandler(p.putObject))
	mux.HandleFunc("GET /objects", jsonHandler(p.object))
	mux.HandleFunc("DELETE /objects", jsonHandler(p.deleteObject))
	mux.HandleFunc("GET /hosts", jsonHandler(p.hosts))
	mux.HandleFunc("GET /cloud/offers", jsonHandler(p.offers))
	mux.HandleFunc("POST /cloud/hosts", jsonHandler(p.requestHost))
	mux.HandleFunc("DELETE /cloud/hosts", jsonHandler(p.releaseHost))
	mux.HandleFunc("GET /cloud/notices", jsonHandler(p.notices))
	mux.HandleFunc("GET /weights/versions", jsonHandler(p.weightVersions))
	mux.HandleFunc("POST /weights/reserve", jsonHandler(p.reserveWeights))
	mux.HandleFunc("GET /faults", jsonHandler(p.getFaults))
	mux.HandleFunc("POST /faults", jsonHandler(p.postFaults))
	return mux
}

// jsonHandler returns a handler that writes the result of f as JSON. If a fault
// lost the answer, it drops the connection, as a network failure would.
func jsonHandler(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := f(r)
		switch {
		case errors.Is(err, errConnectionLost), errors.Is(err, context.Canceled):
			panic(http.ErrAbortHandler)
		case err != nil:
			httpjson.WriteError(w, err)
		default:
			httpjson.Write(w, value)
		}
	}
}

func (p *Platform) row(r *http.Request) (any, error) {
	row, found, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	return protocol.RowAnswer{Row: row, Found: found}, err
}

func (p *Platform) rows(r *http.Request) (any, error) {
	rows, err := p.Table.Scan(r.Context(), r.URL.Query().Get("prefix"))
	return protocol.ScanAnswer{Rows: rows}, err
}

func (p *Platform) commit(r *http.Request) (any, error) {
	var body protocol.CommitBody
	if err := httpjson.Read(r, &body); err != nil {
		return nil, err
	}
	version, err := p.Table.Commit(r.Context(), body.Writes...)
	return protocol.CommitAnswer{Version: version}, err
}

func (p *Platform) putObject(r *http.Request) (any, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "body: %w", err)
	}
	return struct{}{}, p.Objects.Put(r.Context(), r.URL.Query().Get("key"), body)
}

func (p *Platform) object(r *http.Request) (any, error) {
	body, found, err := p.Objects.Get(r.Context(), r.URL.Query().Get("key"))
	return protocol.ObjectAnswer{Body: body, Found: found}, err
}

func (p *Platform) deleteObject(r *http.Request) (any, error) {
	httpjson.Drain(r)
	return struct{}{}, p.Objects.Delete(r.Context(), r.URL.Query().Get("key"))
}

func (p *Platform) hosts(r *http.Request) (any, error) {
	return p.HostList.Hosts(r.Context())
}

func (p *Platform) offers(r *http.Request) (any, error) {
	return p.Cloud.Offers(r.Context())
}

func (p *Platform) requestHost(r *http.Request) (any, error) {
	var body infra.HostRequest
	if err := httpjson.Read(r, &body); err != nil {
		return nil, err
	}
	return p.Cloud.Request(r.Context(), body)
}

func (p *Platform) releaseHost(r *http.Request) (any, error) {
	httpjson.Drain(r)
	return struct{}{}, p.Cloud.Release(r.Context(), r.URL.Query().Get("id"))
}

func (p *Platform) notices(r *http.Request) (any, error) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "after: %w", err)
	}
	return p.Cloud.Notices(r.Context(), after)
}

func (p *Platform) weightVersions(r *http.Request) (any, error) {
	return p.WeightStore.Versions(r.Context(), r.URL.Query().Get("model"))
}

func (p *Platform) reserveWeights(r *http.Request) (any, error) {
	httpjson.Drain(r)
	q := r.URL.Query()
	wait, err := p.WeightStore.Reserve(r.Context(), q.Get("model"), q.Get("version"))
	return protocol.ReserveAnswer{Wait: wait}, err
}

// Faults are the faults of all services of the platform.
type Faults struct {
	Table       TableFaults       `json:"table"`
	Objects     ObjectFaults      `json:"objects"`
	HostList    HostListFaults    `json:"host_list"`
	Cloud       CloudFaults       `json:"cloud"`
	WeightStore WeightStoreFaults `json:"weight_store"`
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	return Faults{
		Table:       p.Table.Faults(),
		Objects:     p.Objects.Faults(),
		HostList:    p.HostList.Faults(),
		Cloud:       p.Cloud.Faults(),
		WeightStore: p.WeightStore.Faults(),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.Table.SetFaults(f.Table)
	p.Objects.SetFaults(f.Objects)
	p.HostList.SetFaults(f.HostList)
	p.Cloud.SetFaults(f.Cloud)
	p.WeightStore.SetFaults(f.WeightStore)
}

func (p *Platform) getFaults(*http.Request) (any, error) { return p.Faults(), nil }

// postFaults changes the faults in the body and leaves the others as they are.
func (p *Platform) postFaults(r *http.Request) (any, error) {
	f := p.Faults()
	if err := httpjson.Read(r, &f); err != nil {
		return nil, err
	}
	p.SetFaults(f)
	return f, nil
}
