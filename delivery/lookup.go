package delivery

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/once"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
)

const (
	// lookupTimeout limits one query to a replica.
	lookupTimeout = 2 * time.Second
	// lookupReplicas limits the number of replicas that are queried.
	lookupReplicas = 3
)

// Lookup returns a once.Lookup that queries a replica of the service. All
// replicas of a service return the same result. If one fails, another is
// queried, up to lookupReplicas.
func Lookup(fleet ServiceFleet, client endpoint.Client) once.Lookup {
	return func(ctx context.Context, key once.Key) (endpoint.Reply, bool, error) {
		var (
			exclude []string
			lastErr error
		)
		for range lookupReplicas {
			choice, err := fleet.ChooseService(key.Service, exclude)
			if err != nil {
				return endpoint.Reply{}, false, errors.Join(err, lastErr)
			}
			reply, found, err := queryReplica(ctx, client.Service(choice.Endpoint.Addr), key)
			if err == nil || errors.Is(err, endpoint.ErrNoLookup) {
				fleet.Done(choice, routing.Outcome{})
				return reply, found, err
			}
			fleet.Done(choice, routing.Outcome{Err: err})
			exclude = append(exclude, choice.Endpoint.ID)
			lastErr = err
		}
		return endpoint.Reply{}, false, lastErr
	}
}

func queryReplica(ctx context.Context, service endpoint.Service, key once.Key) (endpoint.Reply, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return service.Lookup(ctx, endpoint.ScopedKey(key.Customer, key.Key))
}
