// Package peer carries messages between entry processes.
//
// A Node dials every other member of the view and serves the sessions that
// other members dial to it. Each member sends its requests on the session that
// it dialled itself, so that two members need not agree on one session to keep.
// A session is one yamux connection with one stream per traffic class. Each
// frame on a stream is one Envelope preceded by its length.
//
// Replies arrive on the stream of their request and are matched by request ID.
// A reply without a waiting call is dropped and counted.
package peer
