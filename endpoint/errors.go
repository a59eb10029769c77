package endpoint

import "errors"

// ErrNoLookup says that a service can't be asked about a key.
var ErrNoLookup = errors.New("service has no lookup by key")
