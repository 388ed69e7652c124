// Package strict decodes YAML without tolerance: unknown and duplicate keys,
// wrong types and missing units are faults. A fault does not end the reading,
// so that all faults of a document are reported at once.
package strict
