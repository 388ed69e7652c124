package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"peridotcrank.dev/jobs/rows"
)

type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Version   *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (r wireRow) key() rows.Key { return rows.Key{Table: r.Table, Part: r.Part, Name: r.Key} }

func encodeRows(list []rows.Row) []wireRow {
	encoded := []wireRow{}
	for _, r := range list {
		encoded = append(encoded, wireRow{r.Table, r.Part, r.Name, r.Value, &r.Version, r.Deleted})
	}
	return encoded
}

func (p *Platform) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", p.serveCommit)
	mux.HandleFunc("GET /rows-get", p.serveRead)
	mux.HandleFunc("GET /rows-feed", p.serveFeed)
	return mux
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []wireRow `json:"expect"`
		Set    []wireRow `json:"set-keys"`
		Delete []wireRow `json:"delete-keys"`
		Across bool      `json:"across"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tx := rows.Tx{CrossPart: body.Across}
	for _, e := range body.Expect {
		if e.Version == nil {
			http.Error(w, "an expected row has no version", http.StatusBadRequest)
			return
		}
		tx.Expect = append(tx.Expect, rows.Expectation{Key: e.key(), Version: *e.Version})
	}
	for _, s := range body.Set {
		tx.Set = append(tx.Set, rows.Row{Key: s.key(), Value: s.Value})
	}
	for _, d := range body.Delete {
		tx.Delete = append(tx.Delete, d.key())
	}
	time.Sleep(p.transactionTime(tx))
	result, err := p.Store.Commit(r.Context(), tx)
	switch {
	case errors.Is(err, rows.ErrNotExecuted):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	case result.Applied:
		writeJSON(w, http.StatusOK, map[string]any{"ver": result.Version})
	default:
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": encodeRows(result.CurrentRows)})
	}
}

// transactionTime returns how long a transaction takes.
func (p *Platform) transactionTime(tx rows.Tx) time.Duration {
	if tx.CrossPart {
		return 2 * p.TransactionTime
	}
	return p.TransactionTime
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := p.Store.Read(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"))
	p.holdPage(r.Context(), q.Get("table"))
	servePage(w, page, err)
}

func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait-ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := p.Store.Feed(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	p.holdPage(r.Context(), q.Get("table"))
	servePage(w, page, err)
}

func servePage(w http.ResponseWriter, page rows.Page, err error) {
	switch {
	case errors.Is(err, rows.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"rows": encodeRows(page.Rows), "has-more": page.More, "ver": page.Version})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// It fails only when the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
