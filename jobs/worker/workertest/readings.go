package workertest

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"peridotcrank.dev/jobs/worker"
)

// Readings are the behaviours of simulated workers where the protocol permits several. The
// zero value has the ones that are the easiest for an owner.
type Readings struct {
	// Seed determines what the workers draw.
	Seed uint64

	Acknowledgements AcknowledgementReading

	// ListInLostReplies lists ends also in the replies to holds that are lost or that nobody
	// awaits. Otherwise such holds have no effect on what is listed.
	ListInLostReplies bool

	// AnyClockStart lets the clock of each incarnation begin at any time: close to 0, close to that
	// of the former incarnation, or far ahead. Otherwise it begins at 1 s.
	AnyClockStart bool
	// SlowClocks lets clocks run up to maxClockLag slow. Otherwise they are exact.
	SlowClocks bool
	// MillisecondClocks reports clocks, and takes the expiry of leases, in whole milliseconds.
	MillisecondClocks bool

	// MaxStopTime lets each stop take up to this time. 0 for the fleet's StopTime.
	MaxStopTime time.Duration
	// ReplyAfterStop replies to a stop when the run has ended. Otherwise it replies at once.
	ReplyAfterStop bool

	// SlowCalls delays some requests, which are executed after newer ones, and some replies,
	// which arrive after newer ones. Those calls are executed even if nobody awaits them.
	SlowCalls bool

	// ExecuteTwice executes a delayed order at once as well.
	ExecuteTwice bool
	// ReachNextIncarnation lets delayed orders of all kinds reach a later incarnation of the
	// worker. If its owner has not called it yet, it executes a start, whatever the owner does.
	ReachNextIncarnation bool
	// KeepFenceOfRefused keeps the fence of a start that is refused because of its ticket or
	// its lease. Otherwise such a start has no effect.
	KeepFenceOfRefused bool
	// RejectOverload refuses starts beyond the capacity, which renew the lease all the same.
	// Otherwise they are executed, and each is a violation.
	RejectOverload bool
	// StartLowerRuns starts a run beside a higher one of its task that is in progress. Otherwise
	// only runs above all that were started, stopped or ended are started.
	StartLowerRuns bool

	// SkipEndNumbers leaves gaps between the numbers of ends.
	SkipEndNumbers bool
	// ShuffleLists lists runs and ends in any order. Otherwise ends are in the order of their
	// numbers.
	ShuffleLists bool
	// Lists is whether both lists of a status are of the same moment.
	Lists ListsReading

	// WaitForNewEnd lets a hold with a wait ignore the ends that exist. Otherwise it is answered
	// at once if there are any.
	WaitForNewEnd bool
	// OnePollPerEnd lets an end answer one of the holds that wait. Otherwise it answers all.
	OnePollPerEnd bool
}

// ListsReading is when the two lists of a status are taken.
type ListsReading uint8

// Readings of "it returns both lists".
const (
	// ListsOfOneMoment takes both lists at the same moment.
	ListsOfOneMoment ListsReading = iota
	// RunningFirst takes the list of runs before that of ends, so that a run which ends in
	// between is in both.
	RunningFirst
	// EndsFirst takes the list of ends before that of runs, so that a run which ends in between
	// is in neither.
	EndsFirst
)

func (l ListsReading) String() string {
	return [...]string{"one-moment", "running-first", "ends-first"}[l]
}

// AcknowledgementReading is what a worker does with an end that occurs after a hold has
// acknowledged its number. Such a hold was meant for the former incarnation of the worker.
type AcknowledgementReading uint8

// Readings of "ends up to the acknowledged number are forgotten".
const (
	// ForgetExisting forgets the ends that exist when the hold is executed. Later ones are
	// listed until another hold acknowledges them.
	ForgetExisting AcknowledgementReading = iota
	// ForgetListed keeps the highest number, and forgets later ends up to it as soon as one
	// status has listed them, whether or not that status arrives.
	ForgetListed
	// ForgetUnlisted keeps the highest number, and never lists later ends up to it.
	ForgetUnlisted
)

// AcknowledgementReadings are all readings of acknowledgements.
var AcknowledgementReadings = []AcknowledgementReading{ForgetExisting, ForgetListed, ForgetUnlisted}

func (a AcknowledgementReading) String() string {
	switch a {
	case ForgetListed:
		return "listed-once"
	case ForgetUnlisted:
		return "never-listed"
	default:
		return "at-once"
	}
}

// maxClockLag is how much slower than real time a worker's clock may run.
const maxClockLag = 0.02

// defaultClockStart is where a clock begins without [Readings.AnyClockStart].
const defaultClockStart = time.Second

// random returns the generator of what workers draw.
func (f *Fleet) random() *rand.Rand {
	if f.readingsRandom == nil {
		f.readingsRandom = rand.New(rand.NewPCG(f.Readings.Seed, 0))
	}
	return f.readingsRandom
}

// maxListsGap is the longest time between the two lists of a status that are not of the same
// moment.
const maxListsGap = 20 * time.Millisecond

// maxNumberGap is the largest step between the numbers of two ends.
const maxNumberGap = 3

// nextEndNumber returns the number of the next end on a worker.
func (f *Fleet) nextEndNumber(w *simulatedWorker) uint64 {
	w.lastNumber++
	if f.Readings.SkipEndNumbers {
		w.lastNumber += f.random().Uint64N(maxNumberGap)
	}
	return w.lastNumber
}

// shuffle brings a list of a status into any order.
func shuffle[T any](f *Fleet, list []T) {
	if f.Readings.ShuffleLists {
		f.random().Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
}

// drawStopTime returns how long a run takes to stop.
func (f *Fleet) drawStopTime() time.Duration {
	if limit := f.Readings.MaxStopTime; limit > 0 {
		return time.Duration(f.random().Int64N(int64(limit) + 1))
	}
	return cmp.Or(f.StopTime, defaultStopTime)
}

// drawClockStart returns where the clock of the next incarnation of a worker begins.
func (f *Fleet) drawClockStart(former *simulatedWorker) worker.ClockTime {
	// A call takes no time here, so an owner that waits for a clock above 0 would never see one.
	const first, near, far = time.Millisecond, 10 * time.Second, 30 * 24 * time.Hour
	if !f.Readings.AnyClockStart {
		return defaultClockStart
	}
	switch f.random().IntN(4) {
	case 0:
		return first
	case 1:
		return time.Duration(f.random().Int64N(int64(far)))
	default:
		if former == nil {
			return first + time.Duration(f.random().Int64N(int64(near)))
		}
		return max(first, f.clock(former)+time.Duration(f.random().Int64N(int64(2*near)))-near)
	}
}

// drawClockRate returns how fast the clock of a worker runs.
func (f *Fleet) drawClockRate() float64 {
	if !f.Readings.SlowClocks {
		return 1
	}
	return 1 - maxClockLag*f.random().Float64()
}

// clock returns the time on the clock of a worker, which starts anew in each incarnation.
func (f *Fleet) clock(w *simulatedWorker) worker.ClockTime {
	return w.clockStart + time.Duration(float64(f.now()-w.startedAt)*w.clockRate)
}

// reportedClock returns the time on the clock of a worker as the worker reports it.
func (f *Fleet) reportedClock(w *simulatedWorker) worker.ClockTime { return f.wireTime(f.clock(w)) }

// wireTime returns a time as the protocol encodes it.
func (f *Fleet) wireTime(t worker.ClockTime) worker.ClockTime {
	if f.Readings.MillisecondClocks {
		return t.Truncate(time.Millisecond)
	}
	return t
}

// untilClock returns the real time until the clock of a worker shows a time.
func (f *Fleet) untilClock(w *simulatedWorker, t worker.ClockTime) time.Duration {
	return time.Duration(math.Ceil(float64(t-f.clock(w)) / w.clockRate))
}

// forgetListedEnds forgets those of the first ends of a worker, which a status has just
// listed, that were acknowledged before they occurred.
func (f *Fleet) forgetListedEnds(w *simulatedWorker, listed int) {
	if f.Readings.Acknowledgements == ForgetListed {
		f.forgetEnds(w, listed)
	}
}

// forgetNewEnd forgets an end that has just occurred and was acknowledged before.
func (f *Fleet) forgetNewEnd(w *simulatedWorker) {
	if f.Readings.Acknowledgements == ForgetUnlisted {
		f.forgetEnds(w, len(w.endedRuns))
	}
}

// forgetEnds forgets those of the first ends of a worker whose numbers are acknowledged. A
// forgotten end counts as acknowledged.
func (f *Fleet) forgetEnds(w *simulatedWorker, first int) {
	forgotten := uint64(0)
	for range first {
		if w.endedRuns[0].Number > w.acked {
			break
		}
		forgotten = w.endedRuns[0].Number
		w.endedRuns = w.endedRuns[1:]
	}
	f.noteDoneUpTo(w, forgotten)
}

// TimerDelay returns the delay of a timer, at least a nanosecond: in a synctest bubble the race detector can crash
// when timers without a delay are used by several goroutines at the same time.
func TimerDelay(d time.Duration) time.Duration { return max(d, 1) }
