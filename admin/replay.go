package admin

import (
	"container/list"
	"sync"
	"time"
)

const (
	stepRepeat = "repeat"
	// maxReplyAge is how long a reply is kept for repeated requests.
	maxReplyAge = 10 * time.Minute
	// maxCachedBytes bounds the size of the kept replies. A repeated request
	// whose reply was evicted goes to the backend, which recognises its operation.
	maxCachedBytes = 8 << 20
	// maxCachedReplies bounds the number of kept replies and changes in progress.
	maxCachedReplies = 4096
)

// reply is the status and the encoded body of an HTTP response.
type reply struct {
	status int
	body   []byte
}

type replyKey struct{ operator, requestID string }

// replyCache keeps the replies to recent changes of this process, so that a
// repeated request gets the same reply. It is safe for concurrent use.
type replyCache struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[replyKey]*list.Element
	order   *list.List // Of *cachedReply, oldest first.
	bytes   int
}

type cachedReply struct {
	key       replyKey
	operation string
	startedAt time.Time
	reply     *reply // Nil while the change is in progress.
}

func newReplyCache(now func() time.Time) *replyCache {
	return &replyCache{now: now, entries: map[replyKey]*list.Element{}, order: list.New()}
}

// begin returns the kept reply to a repeated request. It returns nil for a new
// request; the caller must then carry out the change and call finish.
func (r *replyCache) begin(key replyKey, operation string) (*reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictExpired()
	if element, ok := r.entries[key]; ok {
		entry := element.Value.(*cachedReply)
		switch {
		case entry.operation != operation:
			return nil, Errorf(CodeRequestIDReused, stepRepeat, "the Request-Id was used for another request")
		case entry.reply == nil:
			return nil, Errorf(CodeInProgress, stepRepeat, "the request is being carried out")
		}
		return entry.reply, nil
	}
	if !r.evictToFit(0, 1) {
		return nil, Errorf(CodeUnavailable, stepRepeat, "too many changes are in progress")
	}
	r.entries[key] = r.order.PushBack(&cachedReply{key: key, operation: operation, startedAt: r.now()})
	return nil, nil
}

// finish ends a change that began with begin and keeps its final reply. When final
// is nil, a repeated request is carried out again.
func (r *replyCache) finish(key replyKey, final *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element, ok := r.entries[key]
	if !ok {
		return
	}
	if final == nil || len(final.body) > maxCachedBytes || !r.evictToFit(len(final.body), 0) {
		r.remove(element)
		return
	}
	element.Value.(*cachedReply).reply = final
	r.bytes += len(final.body)
}

// evictExpired removes the replies older than maxReplyAge.
func (r *replyCache) evictExpired() {
	r.evictWhile(func(e *cachedReply) bool { return r.now().Sub(e.startedAt) > maxReplyAge })
}

// evictToFit removes the oldest replies until the additional bytes and entries fit.
// It reports whether they do.
func (r *replyCache) evictToFit(bytes, entries int) bool {
	fits := func() bool { return r.bytes+bytes <= maxCachedBytes && len(r.entries)+entries <= maxCachedReplies }
	r.evictWhile(func(*cachedReply) bool { return !fits() })
	return fits()
}

// evictWhile removes replies, oldest first, while condition holds. It skips
// changes in progress.
func (r *replyCache) evictWhile(condition func(*cachedReply) bool) {
	for element := r.order.Front(); element != nil; {
		next := element.Next()
		entry := element.Value.(*cachedReply)
		if entry.reply != nil {
			if !condition(entry) {
				return
			}
			r.remove(element)
		}
		element = next
	}
}

// remove removes an entry and subtracts the size of its reply.
func (r *replyCache) remove(element *list.Element) {
	entry := element.Value.(*cachedReply)
	if entry.reply != nil {
		r.bytes -= len(entry.reply.body)
	}
	delete(r.entries, entry.key)
	r.order.Remove(element)
}
