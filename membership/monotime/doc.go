// Package monotime reads the monotonic clock on which validity and claims rest.
//
// The monotonic reading of time.Now stops while the machine is suspended. A VM
// that was suspended would then take its view for valid although it has been
// evicted meanwhile. This package reads a clock that keeps running.
package monotime
