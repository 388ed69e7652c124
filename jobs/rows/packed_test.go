package rows_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows"
)

// Guards against values that change by compression, and against small ones that are compressed.
func TestPackedValues(t *testing.T) {
	for _, n := range []int{0, 1, rows.MaxPlainBytes, rows.MaxPlainBytes + 1, 1 << 20} {
		message := []byte(strings.Repeat("\x0a\x05value", n/7+1)[:n])
		packed, err := rows.Pack(message)
		assert.NilError(t, err)
		assert.Equal(t, n > rows.MaxPlainBytes, len(packed) < n, "%d bytes", n)
		unpacked, err := rows.Unpack(packed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(unpacked, message))
	}
}

// Guards against values of other writers that end the process or take its memory.
func TestOddPackedValues(t *testing.T) {
	large, err := rows.Pack(make([]byte, 17<<20))
	assert.NilError(t, err)
	for _, odd := range [][]byte{{0}, {0, 0xff, 0xff}, large, large[:len(large)/2]} {
		_, err := rows.Unpack(odd)
		assert.Assert(t, err != nil)
	}
}
