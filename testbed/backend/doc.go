// Package backend is a stand-in for the backend servers of several VMs.
//
// Each VM listens on its own address, enforces its slots and connections and
// records every request that it runs, so that a test can compare the responses
// that callers received with the requests that ran.
package backend
