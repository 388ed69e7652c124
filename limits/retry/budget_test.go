package retry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newBudget returns a budget and the time that its clock returns.
func newBudget(t rapid.TB, o Options) (*SlidingWindow, *time.Time) {
	now := time.Unix(1_000_000, 0)
	o.Now = func() time.Time { return now }
	b, err := New(o)
	assert.NilError(t, err)
	return b, &now
}

// Guards against retries above the ratio: after each allowed retry, the retries
// in the window must not exceed the ratio of its requests, whatever the
// sequence of requests and retries.
func TestRetriesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newBudget(t, Options{})
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			*now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.Deposit()
				requests = append(requests, *now)
			}
			if !b.TryWithdraw() {
				continue
			}
			retries = append(retries, *now)
			// The budget drops requests and retries up to one bucket before they are
			// older than the window.
			certain := countAfter(retries, now.Add(-DefaultWindow*(bucketCount-1)/bucketCount))
			assert.Assert(t, 10*certain <= countAfter(requests, now.Add(-DefaultWindow)))
		}
	})
}

func withdrawAll(b *SlidingWindow) (granted int) {
	for b.TryWithdraw() {
		granted++
	}
	return granted
}

func countAfter(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

// Guards against a budget that never allows a retry, or that stays exhausted
// after the window has passed.
func TestGrantsTheRatioAndRecovers(t *testing.T) {
	b, now := newBudget(t, Options{Minimum: 1})
	assert.Assert(t, b.TryWithdraw())
	assert.Assert(t, !b.TryWithdraw())
	*now = now.Add(2 * DefaultWindow)
	for range 4 {
		*now = now.Add(DefaultWindow * 6 / 10) // The window covers two iterations.
		for range 100 {
			b.Deposit()
		}
		assert.Equal(t, withdrawAll(b), 10)
	}
}

// Guards against lost updates when goroutines deposit and withdraw concurrently.
func TestConcurrentUseGrantsExactly(t *testing.T) {
	b, _ := newBudget(t, Options{Ratio: 0.5})
	var wg sync.WaitGroup
	var granted atomic.Int64
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.Deposit()
				if b.TryWithdraw() {
					granted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, int(granted.Load())+withdrawAll(b), 4000)
}

func TestInvalidOptionsAreRefused(t *testing.T) {
	for _, o := range []Options{{Ratio: -1}, {Ratio: 2}, {Window: -time.Second}, {Minimum: -1}} {
		_, err := New(o)
		assert.ErrorContains(t, err, "retry options")
	}
}
