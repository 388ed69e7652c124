// Package limits groups the packages that limit traffic to backend servers:
// slots bounds concurrent requests per worker, admission queues and refuses
// requests, and retry bounds retries.
package limits
