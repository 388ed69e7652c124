// Package job defines jobs, steps and tasks, and converts jobs to and from their
// stored form.
//
// A job consists of steps, and a step of identical tasks. A scheduled job runs all
// its steps once per occurrence. Values of this package are immutable after
// validation.
package job
