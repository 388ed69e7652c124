// Package routing selects backend servers.
package routing
