package endpoint

import "errors"

// ErrNoLookup is returned by services that have no lookup of executed keys.
var ErrNoLookup = errors.New("service has no lookup by key")
