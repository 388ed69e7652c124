// Package relay carries calls about jobs between entry processes: yamux
// sessions, one stream for a call, with one protobuf message each way.
package relay
