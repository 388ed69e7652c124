// Package ingress answers callers' requests about jobs: it finds the owner of
// the queue's shard and passes the call on.
package ingress
