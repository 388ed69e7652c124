// Package retry bounds retries to a ratio of live traffic over a sliding
// window, so that retries cannot multiply the load of a failing pool.
package retry
