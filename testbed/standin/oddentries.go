package standin

import (
	"fmt"
	"strings"

	"peridotcrank.dev/jobs/rows"
)

// oddDepth is the number of nested lists and objects in an odd entry.
const oddDepth = 20_000

// oddEntries returns entries of the registry, by what is odd about them, that another writer
// may leave in a pool. None of them names a worker.
func oddEntries(pool string) map[string]string {
	const format = `{"service":%q,"address":%q,"state":"ready","capacity":{"cpu":%s,"mem-mb":%s},"labels":["a","rack-0"],"born":%s}`
	return map[string]string{
		"bytes":     "\xff\xfe\x00",
		"depth":     strings.Repeat(`{"capacity":[`, oddDepth/2) + strings.Repeat(`]}`, oddDepth/2),
		"state":     fmt.Sprintf(`{"service":%q,"state":"asleep"}`, pool),
		"type":      fmt.Sprintf(`{"service":%q,"address":7,"state":["ready"],"capacity":"large"}`, pool),
		"number":    fmt.Sprintf(format, pool, "127.0.0.1:1", "1e400", "1", "1"),
		"largest":   fmt.Sprintf(format, pool, "127.0.0.1:1", "9223372036854775807", "9223372036854775807", "9223372036854775807"),
		"port":      fmt.Sprintf(format, pool, "127.0.0.1:99999", "64000", "64000", "1"),
		"negative":  fmt.Sprintf(format, pool, "127.0.0.1:-1", "64000", "-5", "-1"),
		"no worker": fmt.Sprintf(format, pool, "127.0.0.1:1", "64000", "64000", "1"),
	}
}

// PutOddEntries writes odd entries for a pool into the registry. Their names have a prefix.
func (p *Platform) PutOddEntries(pool, prefix string) {
	for odd, value := range oddEntries(pool) {
		p.Store.Put(rows.Row{Key: rows.Key{Table: "servers", Name: prefix + "-" + odd}, Value: []byte(value)})
	}
}
