// Command platform plays the cases of the second review that are scripts. It holds the
// stand-ins for the users' platform: the metadata store, the cloud API, replicas, a TCP
// proxy and requesters, and starts entries as separate processes. The stand-ins do what
// the users' pages say and nothing more.
package main
