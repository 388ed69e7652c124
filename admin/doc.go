// Package admin implements the administration API.
package admin
