package rowsrelay

import (
	"time"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

func encodeKey(k rows.Key) *jobpb.RowKey {
	return &jobpb.RowKey{Table: k.Table, Part: k.Part, Name: k.Name}
}

func decodeKey(k *jobpb.RowKey) rows.Key {
	return rows.Key{Table: k.GetTable(), Part: k.GetPart(), Name: k.GetName()}
}

func encodeRows(list []rows.Row) (records []*jobpb.StoredRow) {
	for _, r := range list {
		records = append(records, &jobpb.StoredRow{Key: encodeKey(r.Key), Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return records
}

func decodeRows(records []*jobpb.StoredRow) (list []rows.Row) {
	for _, r := range records {
		list = append(list, rows.Row{Key: decodeKey(r.GetKey()), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()})
	}
	return list
}

func encodeTx(tx rows.Tx) *jobpb.Transaction {
	record := &jobpb.Transaction{Set: encodeRows(tx.Set), Across: tx.CrossPart}
	for _, e := range tx.Expect {
		record.Expect = append(record.Expect, &jobpb.StoredRow{Key: encodeKey(e.Key), Version: e.Version})
	}
	for _, k := range tx.Delete {
		record.Delete = append(record.Delete, encodeKey(k))
	}
	return record
}

func decodeTx(record *jobpb.Transaction) rows.Tx {
	tx := rows.Tx{Set: decodeRows(record.GetSet()), CrossPart: record.GetAcross()}
	for _, e := range record.GetExpect() {
		tx.Expect = append(tx.Expect, rows.Expectation{Key: decodeKey(e.GetKey()), Version: e.GetVersion()})
	}
	for _, k := range record.GetDelete() {
		tx.Delete = append(tx.Delete, decodeKey(k))
	}
	return tx
}

func encodePage(p rows.Page) *jobpb.StoreReply {
	return &jobpb.StoreReply{Rows: encodeRows(p.Rows), More: p.More, Version: p.Version}
}

func decodePage(r *jobpb.StoreReply) rows.Page {
	return rows.Page{Rows: decodeRows(r.GetRows()), More: r.GetMore(), Version: r.GetVersion()}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
