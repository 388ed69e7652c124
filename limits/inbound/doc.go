// Package inbound bounds what the open connections of callers and peers may take of a process: their
// number, and the memory of requests that have not been received in full, or not been answered.
//
// A [Limiter] belongs to one listener. It counts the bytes and lines of a request's head as they arrive,
// before they are parsed, and the bytes of bodies as they are buffered. When the memory or the number of
// connections is exhausted, it closes the connection that takes the most among those whose request is not
// complete; if several take the same, one without a served request first, then the one that waits
// longest. So requests of ordinary size are served beside many that are large, slow or never
// complete. A connection whose request is being served is not closed.
package inbound
