package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"peridotcrank.dev/fleet"
)

// maxDocument bounds a decompressed configuration, in bytes. 230 services take
// about 40 KB.
const maxDocument = 16 << 20

// encodeDocument returns a configuration as compressed JSON. Services differ in
// few fields, so that it takes a small fraction of the JSON.
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

// decodeDocument reverses encodeDocument. A document that is cut off or longer
// than the bound is an error.
func decodeDocument(document []byte) (config fleet.Configuration, err error) {
	r, err := gzip.NewReader(bytes.NewReader(document))
	if err != nil {
		return config, fmt.Errorf("decompress: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	switch {
	case err != nil:
		return config, fmt.Errorf("decompress: %w", err)
	case len(text) > maxDocument:
		return config, fmt.Errorf("decompress: more than %d bytes", maxDocument)
	}
	return config, json.Unmarshal(text, &config)
}
