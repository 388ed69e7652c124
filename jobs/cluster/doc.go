// Package cluster divides the shards of the system among its processes.
//
// Each process renews a row of its own in the table service. A shard belongs to
// the process that its owner row names. A process may act for its shards while
// its right lasts: until a fixed time after it sent its last successful
// renewal, on a clock that includes suspension. Others take a shard over when
// its owner has left, was started anew, or has not renewed its row for longer
// than a right lasts. The takeover deletes the row of the former owner in the
// same transaction, so that a renewal that is still under way cannot take effect.
package cluster
