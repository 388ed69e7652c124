// Package durations learns how long tasks run from the runs that have ended, as a
// distribution instead of a single number. It performs no I/O and reads no clock. Its
// types are not safe for concurrent use.
//
// Tasks are grouped by queue and, below it, by image, declared estimate and CPU
// request. The distribution of a group with few samples is mixed with that of its queue,
// and the queue's with a prior around the declared estimate. Recent samples have more
// weight. A run that did not end by itself is a censored sample: it shows only that the
// task takes longer than that.
package durations
