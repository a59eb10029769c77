// Package rollout moves the requests of a service to replicas of a new version
// that an operator ordered, and keeps them away from it if the version is bad.
//
// Three parts work together. The Gate runs at every entry: it says which versions
// a request may be sent to, and records how they answer. The Controller decides on
// one order: it hands out permits for the version that is not proved, compares the
// answers of the versions, and reaches the verdict. It is pure: reports and the
// state of the replicas go in with the time, and a row for the table comes out. The
// Keeper runs Controllers at the entry that holds the lease of the leader tasks.
//
// An entry sends a request to a version that is not proved only with a permit,
// which lapses within 1.25 s. The sum of all permits is bounded by the requests
// that all entries reported, so the bound holds whatever single entries know, and
// a version is closed everywhere as soon as no more permits are handed out.
//
// The package is designed for 9 to 195 entries with up to some thousand requests a
// second for a service, orders that last ten seconds to some minutes, and services
// of three to a hundred replicas. It uses no network. Gate, Controller and tests
// take the time as a parameter.
package rollout
