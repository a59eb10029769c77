package rest

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/protocol"
)

// emptyAnswer is the JSON answer to calls that return only an error.
type emptyAnswer struct{}

// table implements infra.Table.
type table struct{ *Client }

func (t table) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	var answer protocol.RowAnswer
	err := t.read(ctx, "/table/row?"+query("key", key), &answer)
	return answer.Row, answer.Found, err
}

func (t table) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	var answer protocol.ScanAnswer
	err := t.read(ctx, "/table/rows?"+query("prefix", prefix), &answer)
	return answer.Rows, err
}

func (t table) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	var answer protocol.CommitAnswer
	err := t.writeJSON(ctx, http.MethodPost, "/table/commit", protocol.CommitBody{Writes: writes}, &answer)
	return answer.Version, err
}

// objects implements infra.Objects.
type objects struct{ *Client }

func (o objects) Put(ctx context.Context, key string, body []byte) error {
	return o.write(ctx, http.MethodPut, "/objects?"+query("key", key), body, &emptyAnswer{})
}

func (o objects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	var answer protocol.ObjectAnswer
	err := o.read(ctx, "/objects?"+query("key", key), &answer)
	return answer.Body, answer.Found, err
}

func (o objects) Delete(ctx context.Context, key string) error {
	return o.write(ctx, http.MethodDelete, "/objects?"+query("key", key), nil, &emptyAnswer{})
}

// hostList implements infra.HostList.
type hostList struct{ *Client }

func (l hostList) Hosts(ctx context.Context) ([]infra.Host, error) {
	var hosts []infra.Host
	err := l.read(ctx, "/hosts", &hosts)
	return hosts, err
}

// cloud implements infra.Cloud.
type cloud struct{ *Client }

func (c cloud) Offers(ctx context.Context) ([]infra.Offer, error) {
	var offers []infra.Offer
	err := c.read(ctx, "/cloud/offers", &offers)
	return offers, err
}

func (c cloud) Request(ctx context.Context, r infra.HostRequest) (infra.Host, error) {
	var host infra.Host
	err := c.writeJSON(ctx, http.MethodPost, "/cloud/hosts", r, &host)
	return host, err
}

func (c cloud) Release(ctx context.Context, hostID string) error {
	return c.write(ctx, http.MethodDelete, "/cloud/hosts?"+query("id", hostID), nil, &emptyAnswer{})
}

func (c cloud) Notices(ctx context.Context, after uint64) ([]infra.Notice, error) {
	var notices []infra.Notice
	err := c.read(ctx, "/cloud/notices?"+query("after", strconv.FormatUint(after, 10)), &notices)
	return notices, err
}

// weightStore implements infra.WeightStore.
type weightStore struct{ *Client }

func (w weightStore) Versions(ctx context.Context, model string) ([]string, error) {
	var versions []string
	err := w.read(ctx, "/weights/versions?"+query("model", model), &versions)
	return versions, err
}

func (w weightStore) Reserve(ctx context.Context, model, version string) (time.Duration, error) {
	var answer protocol.ReserveAnswer
	path := "/weights/reserve?" + query("model", model) + "&" + query("version", version)
	err := w.write(ctx, http.MethodPost, path, nil, &answer)
	return answer.Wait, err
}

func query(name, value string) string {
	return url.Values{name: {value}}.Encode()
}
