package control

import (
	"bytes"
	"compress/gzip"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet/fleettest"
)

// Guards against a configuration that is altered by encoding and decoding, and
// against truncated or oversized documents that are accepted.
func TestDocument(t *testing.T) {
	config := fleettest.Services(230)
	document, err := encodeDocument(config)
	assert.NilError(t, err)
	decoded, err := decodeDocument(document)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, config)
	_, err = decodeDocument(document[:len(document)-1])
	assert.ErrorContains(t, err, "decompress")
	var endless bytes.Buffer
	w := gzip.NewWriter(&endless)
	_, err = w.Write(bytes.Repeat([]byte{' '}, maxDocumentBytes+1))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = decodeDocument(endless.Bytes())
	assert.ErrorContains(t, err, "more than")
}
