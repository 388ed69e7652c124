// Package client calls the administration API of an entry process.
//
// Requests return *admin.Error values, both for errors of the server and for errors
// of the connection.
package client
