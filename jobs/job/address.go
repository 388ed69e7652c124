package job

// QueueAddress is where callers find a queue: the jobs of the queue are below the prefix
// on the host.
type QueueAddress struct {
	Host   string
	Prefix string
}
