// Package relay carries calls about jobs between entry processes. It uses one yamux
// session per peer and one stream per call; each stream carries a protobuf request and
// a protobuf reply.
package relay
