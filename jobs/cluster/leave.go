package cluster

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// maxLeaveAttempts limits the attempts to delete the own member row.
const maxLeaveAttempts = 3

// Leave ends the lease, stops taking shards and deletes the member row of this
// process. It runs on the loop and returns immediately; done runs on the loop when
// the row is deleted or the attempts have failed.
func (m *Manager) Leave(done func()) {
	m.leaving = true
	m.leaseExpiry = 0
	version, incarnation := m.ownRowVersion, m.incarnation
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.callTimeout())
		defer cancel()
		// If the row cannot be deleted, the others take over after the lease expires.
		err := m.deleteMemberRow(ctx, version, incarnation)
		m.o.Loop.Post(func() {
			m.o.Listener.Renewed(err)
			done()
		})
	}()
}

// deleteMemberRow deletes the member row of this process. It retries with the current
// version when a renewal in flight has changed the row.
func (m *Manager) deleteMemberRow(ctx context.Context, version rows.Version, incarnation string) error {
	key := memberKey(m.o.Member)
	for range maxLeaveAttempts {
		tx := rows.Tx{Expect: []rows.Expectation{{Key: key, Version: version}}, Delete: []rows.Key{key}}
		result, err := m.o.Store.Commit(ctx, tx)
		if err != nil || result.Applied {
			return err
		}
		found := false
		for _, row := range result.CurrentRows {
			record := &jobpb.Member{}
			if proto.Unmarshal(row.Value, record) == nil && record.Incarnation == incarnation {
				version, found = row.Version, true
			}
		}
		if !found {
			return nil // The row belongs to another incarnation or no longer exists.
		}
	}
	return errMemberRowContended
}

var errMemberRowContended = errors.New("member row changed before each attempt to delete it")
