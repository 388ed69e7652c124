// Package control runs the control loop of an entry process.
package control
