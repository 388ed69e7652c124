// Package settings reads and validates the YAML settings of an entry process.
//
// Decoding is strict: each fault is reported with its file, its line and the
// accepted format, and all faults of a file are reported together.
package settings
