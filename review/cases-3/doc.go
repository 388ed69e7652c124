// Command cases-3 runs the scripted cases of the third review. Each case starts
// the project's own program as separate processes on loopback addresses against
// stand-ins of the platform, of the workers and of the clients, and checks one
// rule by what these stand-ins have seen.
//
// The stand-ins follow the users' pages and use only the standard library.
package main
