package standin

import (
	"context"
	"math/rand/v2"
	"time"
)

// heldPages are the results of reads of a table that are held up after their execution.
type heldPages struct {
	table             string
	shortest, longest time.Duration
}

// HoldPages holds up the results of the reads of a table, each for a random time, until release is
// called. The reads are executed at once, so that a transaction can overtake their results.
func (p *Platform) HoldPages(table string, shortest, longest time.Duration) (release func()) {
	held := &heldPages{table, shortest, longest}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldPages[held] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.heldPages, held)
	}
}

// holdPage waits while the result of a read of a table is held up, until its receiver gives up.
func (p *Platform) holdPage(ctx context.Context, table string) {
	delay := p.drawHold(table)
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

func (p *Platform) drawHold(table string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for held := range p.heldPages {
		if held.table == table {
			return held.shortest + rand.N(held.longest-held.shortest)
		}
	}
	return 0
}
