// Package speed estimates how fast the replicas of a service are, relative to
// the mean of the service.
//
// It is designed for deployments of 17 to 410 entries and about a hundred
// replicas, in which all entries together receive eight answers a second from
// each replica, and each entry one in several seconds. The samples are therefore
// summed over all entries. In smaller deployments each entry learns alone, and
// only that replicas are slower than predicted.
//
// A persistent estimate covers half a minute of samples and is kept while there
// are none. A transient one covers a quarter of a second of the entry's own
// samples and only reduces the persistent one. The package uses neither the
// network nor a clock.
package speed
