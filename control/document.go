package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"peridotcrank.dev/fleet"
)

// maxDocumentBytes limits the size of a decompressed configuration. 230 services
// take about 40 KB.
const maxDocumentBytes = 16 << 20

// encodeDocument returns a configuration as gzip-compressed JSON, which is a small
// fraction of the JSON because services differ in few fields.
func encodeDocument(config fleet.Configuration) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(config); err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", config.Version, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration %d: %w", config.Version, err)
	}
	return b.Bytes(), nil
}

// decodeDocument reverses encodeDocument. It returns an error for a document that
// is truncated or decompresses to more than maxDocumentBytes.
func decodeDocument(document []byte) (config fleet.Configuration, err error) {
	r, err := gzip.NewReader(bytes.NewReader(document))
	if err != nil {
		return config, fmt.Errorf("decompress: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	switch {
	case err != nil:
		return config, fmt.Errorf("decompress: %w", err)
	case len(text) > maxDocumentBytes:
		return config, fmt.Errorf("decompress: more than %d bytes", maxDocumentBytes)
	}
	return config, json.Unmarshal(text, &config)
}
