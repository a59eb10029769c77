// Package standin2 holds the stand-ins for the users' platform that the scripts of
// the second review start: the metadata store, the cloud API, replicas, a TCP proxy
// and the processes of entries. They do what the users' pages say and nothing more.
package standin2
