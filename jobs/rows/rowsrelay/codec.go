package rowsrelay

import (
	"time"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

func toKey(k rows.Key) *jobpb.RowKey {
	return &jobpb.RowKey{Table: k.Table, Part: k.Part, Name: k.Name}
}

func fromKey(k *jobpb.RowKey) rows.Key {
	return rows.Key{Table: k.GetTable(), Part: k.GetPart(), Name: k.GetName()}
}

func toRows(list []rows.Row) (records []*jobpb.StoredRow) {
	for _, r := range list {
		records = append(records, &jobpb.StoredRow{Key: toKey(r.Key), Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return records
}

func fromRows(records []*jobpb.StoredRow) (list []rows.Row) {
	for _, r := range records {
		list = append(list, rows.Row{Key: fromKey(r.GetKey()), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()})
	}
	return list
}

func toTx(tx rows.Tx) *jobpb.Transaction {
	record := &jobpb.Transaction{Set: toRows(tx.Set), Across: tx.Across}
	for _, e := range tx.Expect {
		record.Expect = append(record.Expect, &jobpb.StoredRow{Key: toKey(e.Key), Version: e.Version})
	}
	for _, k := range tx.Delete {
		record.Delete = append(record.Delete, toKey(k))
	}
	return record
}

func fromTx(record *jobpb.Transaction) rows.Tx {
	tx := rows.Tx{Set: fromRows(record.GetSet()), Across: record.GetAcross()}
	for _, e := range record.GetExpect() {
		tx.Expect = append(tx.Expect, rows.Expectation{Key: fromKey(e.GetKey()), Version: e.GetVersion()})
	}
	for _, k := range record.GetDelete() {
		tx.Delete = append(tx.Delete, fromKey(k))
	}
	return tx
}

func toPage(p rows.Page) *jobpb.StoreReply {
	return &jobpb.StoreReply{Rows: toRows(p.Rows), More: p.More, Version: p.Version}
}

func fromPage(r *jobpb.StoreReply) rows.Page {
	return rows.Page{Rows: fromRows(r.GetRows()), More: r.GetMore(), Version: r.GetVersion()}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
