package exchange

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that apply to one connection only (RFC 9110,
// section 7.6.1), in canonical form.
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the header fields that apply to one connection only: those
// that the Connection field lists, and the standard hop-by-hop fields.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
