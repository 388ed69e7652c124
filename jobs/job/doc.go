// Package job defines jobs, their steps and tasks, and their stored form.
//
// A job has steps; a step has equal tasks. A job that is due several times has
// one occurrence of all its steps for each time. Values of this package are not
// changed after they were validated.
package job
