// Package entry runs an entry process: it connects the gateway, the routing,
// the claims, the control loop and the administration API.
package entry
