package app

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// Guards against a row of another writer in the registry that ends the process, or
// makes it stop following the rows of replicas.
func TestRegistryIsFollowedPastRowsThatAreNotReplicas(t *testing.T) {
	set := replica.NewSet(nolog.Or(nil))
	h := &registryHandler{set: set, log: nolog.Or(nil), deps: GatewayDeps{
		DecodeReplica: func(id string, value []byte) (replica.Registration, error) {
			var w struct{ Addr string }
			if err := json.Unmarshal(value, &w); err != nil || w.Addr == "" {
				return replica.Registration{}, errors.Join(errors.New("not a replica"), err)
			}
			return replica.Registration{ID: id, Service: "s", Addr: w.Addr, Incarnation: 1}, nil
		},
	}}
	good := func(id string) infra.Row {
		return infra.Row{Key: id, Value: []byte(`{"Addr":"10.0.0.1:80"}`)}
	}
	odd := []string{"", "null", "[]", "\x00\xff", `{"Addr":7}`, `{"Addr":1e999}`, strings.Repeat("[", 1<<16), strings.Repeat(`{"Addr":`, 1<<15)}
	var rows []infra.Row
	for i, text := range odd {
		rows = append(rows, infra.Row{Key: fmt.Sprint("odd", i), Value: []byte(text)}, good(fmt.Sprint("r", i)))
	}
	h.Replace(rows)
	qt.Assert(t, set.Current().Ready["s"], qt.HasLen, len(odd))
	// One row after the other, and a replica whose row another writer replaces.
	for i, text := range odd {
		h.Change(infra.Change{Row: infra.Row{Key: "odd", Value: []byte(text)}})
		h.Change(infra.Change{Row: good(fmt.Sprint("later", i))})
	}
	qt.Assert(t, set.Current().Ready["s"], qt.HasLen, 2*len(odd))
	h.Change(infra.Change{Row: infra.Row{Key: "r0", Value: []byte(odd[0])}})
	qt.Assert(t, set.Current().Ready["s"], qt.HasLen, 2*len(odd)-1)
	h.Change(infra.Change{Row: good("r0")})
	qt.Assert(t, set.Current().Ready["s"], qt.HasLen, 2*len(odd))
}
