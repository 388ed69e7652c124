package cluster

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// leaveAttempts bounds the tries to delete the own row.
const leaveAttempts = 3

// Leave stops taking shards and gives up the own row; done runs on the loop.
func (m *Manager) Leave(done func()) {
	m.leaving = true
	m.rightUntil = 0
	version, incarnation := m.ownVersion, m.incarnation
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.CallTimeout)
		defer cancel()
		// Without success the others take over once the right has passed.
		err := m.deleteRow(ctx, version, incarnation)
		m.o.Loop.Post(func() {
			m.o.Listener.Renewed(err)
			done()
		})
	}()
}

// deleteRow deletes the own row. A renewal that was under way may have changed
// its version meanwhile.
func (m *Manager) deleteRow(ctx context.Context, version rows.Version, incarnation string) error {
	key := memberKey(m.o.Member)
	for range leaveAttempts {
		tx := rows.Tx{Expect: []rows.Expectation{{Key: key, Version: version}}, Delete: []rows.Key{key}}
		result, err := m.o.Store.Commit(ctx, tx)
		if err != nil || result.Applied {
			return err
		}
		found := false
		for _, row := range result.Found {
			record := &jobpb.Member{}
			if proto.Unmarshal(row.Value, record) == nil && record.Incarnation == incarnation {
				version, found = row.Version, true
			}
		}
		if !found {
			return nil // The row belongs to another life or is gone.
		}
	}
	return errRowChanges
}

var errRowChanges = errors.New("the row of this process kept changing")
