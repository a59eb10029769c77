// Package delivery runs accepted requests and brings their answers to
// callers.
//
// An attached request lives as long as its caller's connection. A durable
// one is recorded before it counts as accepted, goes on without its caller,
// and can be followed from any entry. Plain services are called here as well;
// calls that may not be repeated go through package once.
package delivery
