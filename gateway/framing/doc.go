// Package framing rejects requests whose HTTP/1.1 framing is ambiguous and
// that net/http accepts or repairs.
//
// net/http drops Content-Length when Transfer-Encoding is present, merges
// repeated equal Content-Length fields, ignores Transfer-Encoding in HTTP/1.0,
// joins folded header lines and accepts lines that end without a carriage
// return. None of that is visible to a handler. A Listener therefore follows
// the framing of the bytes it delivers. At the first offending line, Read
// fails; net/http then answers 400 and closes the connection.
//
// Responses that net/http writes on its own behalf, such as that 400, get the
// header fields that were given to the Listener.
package framing
