package admin

import (
	"container/list"
	"sync"
	"time"
)

const (
	stepRepeat = "repeat"
	// replayAge is how long a reply is kept for repetitions.
	replayAge = 10 * time.Minute
	// replayBytes bounds the kept replies. A repetition whose reply is gone
	// goes to the backend, which recognises its operation.
	replayBytes = 8 << 20
	// replayEntries bounds the number of kept replies and changes in progress.
	replayEntries = 4096
)

// reply is an encoded reply.
type reply struct {
	status int
	body   []byte
}

type replayKey struct{ operator, requestID string }

// replay keeps the replies to recent changes of this process, so that a
// repetition gets the same reply. It is safe for concurrent use.
type replay struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[replayKey]*list.Element
	order   *list.List // Of *replayEntry, oldest first.
	bytes   int
}

type replayEntry struct {
	key       replayKey
	operation string
	began     time.Time
	reply     *reply // Nil while the change is in progress.
}

func newReplay(now func() time.Time) *replay {
	return &replay{now: now, entries: map[replayKey]*list.Element{}, order: list.New()}
}

// begin returns the kept reply to a repetition, or nil when the caller is to
// carry out the change and to call finish.
func (r *replay) begin(key replayKey, operation string) (*reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if element, ok := r.entries[key]; ok {
		entry := element.Value.(*replayEntry)
		switch {
		case entry.operation != operation:
			return nil, Errorf(CodeRequestIDReused, stepRepeat, "the Request-Id was used for another request")
		case entry.reply == nil:
			return nil, Errorf(CodeInProgress, stepRepeat, "the request is being carried out")
		}
		return entry.reply, nil
	}
	if !r.makeRoom(0, 1) {
		return nil, Errorf(CodeUnavailable, stepRepeat, "too many changes are in progress")
	}
	r.entries[key] = r.order.PushBack(&replayEntry{key: key, operation: operation, began: r.now()})
	return nil, nil
}

// finish keeps a final reply. Without one, a repetition is carried out again.
func (r *replay) finish(key replayKey, final *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element, ok := r.entries[key]
	if !ok {
		return
	}
	if final == nil || len(final.body) > replayBytes || !r.makeRoom(len(final.body), 0) {
		r.remove(element)
		return
	}
	element.Value.(*replayEntry).reply = final
	r.bytes += len(final.body)
}

func (r *replay) expire() {
	r.evict(func(e *replayEntry) bool { return r.now().Sub(e.began) > replayAge })
}

// makeRoom drops the oldest replies until more bytes and entries fit.
func (r *replay) makeRoom(bytes, entries int) bool {
	fits := func() bool { return r.bytes+bytes <= replayBytes && len(r.entries)+entries <= replayEntries }
	r.evict(func(*replayEntry) bool { return !fits() })
	return fits()
}

// evict removes replies, oldest first, while condition holds. Changes in
// progress stay.
func (r *replay) evict(condition func(*replayEntry) bool) {
	for element := r.order.Front(); element != nil; {
		next := element.Next()
		entry := element.Value.(*replayEntry)
		if entry.reply != nil {
			if !condition(entry) {
				return
			}
			r.remove(element)
		}
		element = next
	}
}

func (r *replay) remove(element *list.Element) {
	entry := element.Value.(*replayEntry)
	if entry.reply != nil {
		r.bytes -= len(entry.reply.body)
	}
	delete(r.entries, entry.key)
	r.order.Remove(element)
}
