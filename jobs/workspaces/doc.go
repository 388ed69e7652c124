// Package workspaces holds the workspaces of a configuration: their keys, weights and
// caps. It uses no network and no clock.
package workspaces
