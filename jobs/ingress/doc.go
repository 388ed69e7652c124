// Package ingress routes callers' requests about jobs: it maps a request to a queue and
// forwards the call to the owner of the queue's shard.
package ingress
