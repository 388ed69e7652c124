// Package strict decodes YAML strictly: unknown and duplicate keys, wrong types
// and missing units are faults. Decoding continues after a fault, so that all
// faults of a document are reported at once.
package strict
