// Package gateway serves callers' HTTP requests.
package gateway
