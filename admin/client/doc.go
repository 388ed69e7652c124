// Package client calls the administration API of an entry process.
//
// Errors are *admin.Error values, whether the server or the connection failed.
package client
