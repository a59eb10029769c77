// Package replica knows which replicas of each service exist and take work.
//
// The registry's rows say which replicas there are; notices of peers and
// answers of the replicas themselves may say sooner that one leaves. What is
// known to leave never takes new work again in the same incarnation.
package replica
