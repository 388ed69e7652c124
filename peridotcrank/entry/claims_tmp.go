package entry

import (
	"context"
	"sync"

	"peridotcrank.dev/claims"
)

type localClaims struct{ m sync.Map }

func (l *localClaims) Claim(_ context.Context, k claims.Key) (claims.Verdict, error) {
	if _, ok := l.m.LoadOrStore(k, true); ok {
		return claims.VerdictSeen, nil
	}
	return claims.VerdictFresh, nil
}
func (l *localClaims) Release(_ context.Context, k claims.Key) { l.m.Delete(k) }
