// Package peer carries messages between entry processes.
//
// A Node dials every other member of the view and serves the sessions that
// others dial to it. Requests of a member travel on the session that the member
// dialled itself, so that two members need no agreement on whose session to
// keep. A session is one yamux connection with one stream per traffic class;
// each frame on a stream is one Envelope preceded by its length.
//
// Replies are matched by request identity within the stream that carried the
// request. A reply that nobody waits for is dropped and counted.
package peer
