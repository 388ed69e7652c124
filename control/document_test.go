package control

import (
	"bytes"
	"compress/gzip"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet/fleettest"
)

// Guards against a configuration that changes on its way to a peer, and
// against cut off or endless documents that are taken for a configuration.
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
	_, err = w.Write(bytes.Repeat([]byte{' '}, maxDocument+1))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = decodeDocument(endless.Bytes())
	assert.ErrorContains(t, err, "more than")
}
