// Package store is the client of the platform's table service.
package store
