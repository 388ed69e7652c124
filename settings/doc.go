// Package settings reads and validates the YAML settings of an entry process.
//
// Reading is strict: each fault is reported with file, line and the accepted
// form, and all faults of a file are reported together.
package settings
