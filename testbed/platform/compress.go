package platform

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"
)

// writers keeps the tables of compressors, of about 1 MB each.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// compressed compresses the replies to clients that accept it. Rows and the VM
// list are repetitive JSON.
func compressed(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next(w, r)
			return
		}
		z := &compressor{ResponseWriter: w}
		next(z, r)
		if z.writer != nil {
			_ = z.writer.Close() // A failure means that the connection is gone.
			writers.Put(z.writer)
		}
	}
}

// compressor compresses a body of status 200.
type compressor struct {
	http.ResponseWriter
	writer  *gzip.Writer
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (c *compressor) WriteHeader(status int) {
	c.started = true
	if status == http.StatusOK {
		c.Header().Set("Content-Encoding", "gzip")
		c.writer = writers.Get().(*gzip.Writer)
		c.writer.Reset(c.ResponseWriter)
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *compressor) Write(p []byte) (int, error) {
	if !c.started {
		c.WriteHeader(http.StatusOK)
	}
	var w io.Writer = c.ResponseWriter
	if c.writer != nil {
		w = c.writer
	}
	return w.Write(p)
}
