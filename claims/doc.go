// Package claims records idempotency keys before dispatch.
package claims
