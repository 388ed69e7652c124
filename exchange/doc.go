// Package exchange performs one HTTP/1.1 exchange with a backend server on one connection.
package exchange
