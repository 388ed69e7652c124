// Package failover calls the store reliably when replies are lost or when the store
// does not serve this process.
//
// Calls are hedged: when a reply takes longer than those of earlier calls, a second
// attempt starts while the first one continues, and the first reply wins. Every other
// attempt is relayed through another process, if there is one, because the store may
// reject this process and serve others. While the direct route fails and the relayed
// one works, calls start with the relayed route.
//
// A call may therefore be executed more than once. A commit must depend on the
// versions of the rows that it changes, and its caller must recognize its own rows
// when a commit is reported as not applied.
package failover
