// Package worker is the narrow interface to the workers that run tasks.
package worker
