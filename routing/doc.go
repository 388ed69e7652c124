// Package routing admits requests and reserves slots of backend servers.
//
// A Router joins package admission (who is next), package slots (which slots
// this entry process may use) and its own choice of a backend server:
// zone-local first, other zones with hysteresis, away from the failure domains
// of earlier attempts, and not to backend servers that fail.
package routing
