// Package entry runs an entry process. It connects the gateway, the routing,
// the claims, the control loop and the administration API, and records their
// events and metrics.
package entry
