// Package backend is a stand-in for the backend servers of several VMs.
//
// Each VM listens on its own address, enforces its slots and connections and
// records every request that it ran, so that a test can compare what callers
// were told with what happened.
package backend
