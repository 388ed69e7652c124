package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// orderEntry is a line of the log of orders. It tells which incarnation has executed an order, and
// what became of the reply.
type orderEntry struct {
	order   order
	path    string
	late    bool // The sender had given up before the worker received the order.
	at      time.Time
	outcome string
	reply   []byte
}

const orderTimeLayout = "15:04:05.000"

func newOrderEntry(r *http.Request, o order) *orderEntry {
	return &orderEntry{order: o, path: r.URL.Path, late: r.Context().Err() != nil, at: time.Now(), outcome: "no reply"}
}

// setReply records the result of an order whose reply is about to be sent.
func (e *orderEntry) setReply(body any, err error) {
	switch reason := refusalReason(err); {
	case reason != "":
		e.outcome = "refused: " + reason
	case err == nil:
		e.outcome = "replied"
		e.reply, _ = json.Marshal(body) // Replies consist of values that JSON supports.
	}
}

// logOrder writes the line of an order whose handling has ended.
func (p *Platform) logOrder(e *orderEntry) {
	if p.OrderLog == nil {
		return
	}
	o := e.order
	fmt.Fprintf(p.OrderLog, "%s %s incarnation %d %s task %s run %d fence %d acked-upto %d wait %d late %v: %s %s %s\n",
		e.at.UTC().Format(orderTimeLayout), o.to.info.ID, o.to.info.StartedUnixMs, e.path, o.Task, o.Run, o.Fence, o.AckedUpTo, o.WaitMS, e.late,
		time.Now().UTC().Format(orderTimeLayout), e.outcome, e.reply)
}
