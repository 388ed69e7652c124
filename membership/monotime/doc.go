// Package monotime reads the monotonic clock that measures the validity of views
// and of claims.
//
// The monotonic reading of time.Now stops while the machine is suspended. A VM
// that was suspended would then consider its view valid although it has been
// evicted in the meantime. This package reads a clock that keeps running.
package monotime
