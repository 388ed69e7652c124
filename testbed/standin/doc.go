// Package standin is a stand-in for the users' platform in tests. It serves the published
// protocols of the table service, the workers and the list of machines, and writes the
// configuration as the operator does, on top of the in-memory fakes of the jobs libraries.
package standin
