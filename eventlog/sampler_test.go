package eventlog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lines of one key that take the place of another's, and against lines that
// are left out without a count.
func TestSamplerLimitsEachKey(t *testing.T) {
	s, at := NewSampler(2), time.Unix(100, 0)
	permitted := 0
	for range 10 {
		if _, ok := s.Permit("a", at); ok {
			permitted++
		}
	}
	assert.Equal(t, permitted, 2)
	leftOut, ok := s.Permit("b", at)
	assert.Assert(t, ok && leftOut == 0)
	leftOut, ok = s.Permit("a", at.Add(5*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, leftOut, 8)
	leftOut, ok = s.Permit("a", at.Add(5*time.Second))
	assert.Assert(t, ok && leftOut == 0)
}

// Guards against a sampler that grows with each key that ever had a line.
func TestSamplerForgetsKeys(t *testing.T) {
	s, at := NewSampler(1), time.Unix(100, 0)
	for i := range 100 {
		s.Permit(string(rune('a'+i)), at.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, len(s.keys), 1)
}
