package platform

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"
)

// gzipWriters reuses gzip writers, whose tables take about 1 MB each.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// withCompression compresses responses to clients that accept gzip, because rows and the VM
// list are repetitive JSON.
func withCompression(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next(w, r)
			return
		}
		cw := &compressingWriter{ResponseWriter: w}
		next(cw, r)
		if cw.writer != nil {
			_ = cw.writer.Close() // It fails only when the connection is closed.
			gzipWriters.Put(cw.writer)
		}
	}
}

// compressingWriter compresses the body of a response with status 200.
type compressingWriter struct {
	http.ResponseWriter
	writer        *gzip.Writer
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (c *compressingWriter) WriteHeader(status int) {
	c.headerWritten = true
	if status == http.StatusOK {
		c.Header().Set("Content-Encoding", "gzip")
		c.writer = gzipWriters.Get().(*gzip.Writer)
		c.writer.Reset(c.ResponseWriter)
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *compressingWriter) Write(p []byte) (int, error) {
	if !c.headerWritten {
		c.WriteHeader(http.StatusOK)
	}
	var w io.Writer = c.ResponseWriter
	if c.writer != nil {
		w = c.writer
	}
	return w.Write(p)
}
