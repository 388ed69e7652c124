// Package fit fits lines to the output of the scale benchmarks and of the live
// measurements, and prints them as tables and plots.
package fit
