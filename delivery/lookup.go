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
	// lookupTimeout bounds one question to a service.
	lookupTimeout = 2 * time.Second
	// lookupReplicas bounds the replicas that are asked.
	lookupReplicas = 3
)

// Lookup asks services whether they executed a call. Replicas of a service
// tell the same; one that fails is followed by another.
func Lookup(fleet ServiceFleet, client endpoint.Client) once.Lookup {
	return func(ctx context.Context, key once.Key) (endpoint.Reply, bool, error) {
		var (
			exclude []string
			last    error
		)
		for range lookupReplicas {
			choice, err := fleet.ChooseService(key.Service, exclude)
			if err != nil {
				return endpoint.Reply{}, false, errors.Join(err, last)
			}
			reply, found, err := ask(ctx, client.Service(choice.Endpoint.Addr), key)
			if err == nil || errors.Is(err, endpoint.ErrNoLookup) {
				fleet.Done(choice, routing.Outcome{})
				return reply, found, err
			}
			fleet.Done(choice, routing.Outcome{Err: err})
			exclude = append(exclude, choice.Endpoint.ID)
			last = err
		}
		return endpoint.Reply{}, false, last
	}
}

func ask(ctx context.Context, service endpoint.Service, key once.Key) (endpoint.Reply, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return service.Lookup(ctx, endpoint.ScopedKey(key.Customer, key.Key))
}
