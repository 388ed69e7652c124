// Package failover makes calls to the store when answers are lost, and when the
// store does not serve this process.
//
// A call whose answer takes longer than those before it is made a second time
// while the first try goes on, and the first answer wins. Every other try goes
// through another process, if there is one: the store may reject this process
// and serve the others. While the own way fails and that of another process does
// not, calls begin there.
//
// A call may therefore be carried out more than once. A commit must depend on
// the versions of the rows that it changes, and its caller must recognize its own
// rows when a commit is found not to apply.
package failover
