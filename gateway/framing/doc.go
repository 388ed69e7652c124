// Package framing rejects requests whose HTTP/1.1 framing is ambiguous and
// that net/http accepts or repairs.
//
// net/http drops Content-Length when Transfer-Encoding is present, merges
// repeated equal Content-Length fields, ignores Transfer-Encoding in HTTP/1.0,
// joins folded header lines and accepts lines that end without a carriage
// return. A handler cannot detect any of these. A Listener therefore checks the
// framing of the bytes that its connections return. At the first invalid line,
// Read fails; net/http then responds with 400 and closes the connection.
//
// Responses that net/http writes itself, such as that 400, get the header fields
// that were given to the Listener.
package framing
