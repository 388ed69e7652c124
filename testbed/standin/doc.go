// Package standin is a stand-in of the users' platform for tests: its table
// service, workers, list of machines and operator, by the published protocol,
// over the in-memory fakes of the jobs libraries.
package standin
