package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// feedInterval is how often a held call of the feed looks for changes.
const feedInterval = 10 * time.Millisecond

// droppedRows are the rows that were dropped from the store: its feed has to tell of them, which the project's stand-in doesn't.
type droppedRows struct {
	// mutex is held while a row may be dropped, and while the feed is read.
	mutex sync.Mutex
	rows  []droppedRow
}

type droppedRow struct {
	table, part, key string
	version          uint64
}

// since returns the dropped rows of a table after a version, up to another one. The caller holds the mutex.
func (r *droppedRows) since(table string, after, upTo uint64) []droppedRow {
	var found []droppedRow
	for _, each := range r.rows {
		if each.table == table && each.version > after && each.version <= upTo {
			found = append(found, each)
		}
	}
	return found
}

// remove drops a row with an empty part, as operators and runners do.
func (d *deployment) remove(table, key string) {
	d.dropped.mutex.Lock()
	defer d.dropped.mutex.Unlock()
	d.store.Remove(table, key)
	d.dropped.rows = append(d.dropped.rows, droppedRow{table: table, key: key, version: d.store.Version()})
}

// returnToCopy brings the store back from its copy, which knows nothing of what was dropped since.
func (d *deployment) returnToCopy() {
	d.dropped.mutex.Lock()
	defer d.dropped.mutex.Unlock()
	d.store.ReturnToCopy()
	copied := d.store.Version()
	d.dropped.rows = slices.DeleteFunc(d.dropped.rows, func(each droppedRow) bool { return each.version > copied })
}

// rowsAnswer is an answer of the store about rows.
type rowsAnswer struct {
	Rows  []map[string]any `json:"rows"`
	More  bool             `json:"more"`
	Ver   uint64           `json:"ver"`
	NowMs int64            `json:"now_ms"`
}

// storeAnswer is an answer of the stand-in.
type storeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// call passes a call on to the stand-in. The header that names the era is set in its answer.
func (d *deployment) call(ctx context.Context, incoming *http.Request, query string, body []byte) (*storeAnswer, error) {
	target := "http://" + d.store.Address() + incoming.URL.Path
	if query != "" {
		target += "?" + query
	}
	request, err := http.NewRequestWithContext(ctx, incoming.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := d.storeCalls.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	returns, _ := strconv.Atoi(response.Header.Get(names.StoreEra)) // none before the first
	response.Header.Set(names.StoreEra, strconv.Itoa(returns+1))
	response.Header.Del("Content-Length")
	return &storeAnswer{status: response.StatusCode, header: response.Header, body: content}, nil
}

// serveStore answers the daemons' calls of the store by its stand-in, and tells in the feed what was dropped.
func (d *deployment) serveStore(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var answered *storeAnswer
	switch request.URL.Path {
	case names.CallFeed:
		answered, err = d.feed(request)
	case names.CallTransact:
		answered, err = d.transact(request, body)
	default:
		answered, err = d.call(request.Context(), request, request.URL.RawQuery, body)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the store closed the connection, or the daemon did
	}
	for name, values := range answered.header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answered.status)
	_, _ = writer.Write(answered.body) // the daemon may have left
}

// transact passes a transaction on, and notes what it drops.
func (d *deployment) transact(request *http.Request, body []byte) (*storeAnswer, error) {
	var sent struct {
		Remove []map[string]any `json:"remove"`
	}
	_ = json.Unmarshal(body, &sent) // the stand-in refuses what can't be read
	d.dropped.mutex.Lock()
	defer d.dropped.mutex.Unlock()
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	answered, err := d.call(request.Context(), request, request.URL.RawQuery, body)
	if err != nil || answered.status != http.StatusOK {
		return answered, err
	}
	for _, row := range sent.Remove {
		text := func(name string) string { value, _ := row[name].(string); return value }
		d.dropped.rows = append(d.dropped.rows, droppedRow{table: text("table"), part: text("part"), key: text(names.RowKey), version: d.store.Version()})
	}
	return answered, nil
}

// feed answers with the rows of a table that changed or were dropped after a version, in order, as soon as there is one.
func (d *deployment) feed(request *http.Request) (*storeAnswer, error) {
	query := request.URL.Query()
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	query.Set("waitMs", "0")
	for {
		answered, found, err := d.changes(request, query.Encode(), query.Get("table"), after)
		if err != nil || answered.status != http.StatusOK || found || !time.Now().Before(until) {
			return answered, err
		}
		select {
		case <-request.Context().Done():
			return nil, request.Context().Err()
		case <-time.After(feedInterval):
		}
	}
}

// changes reads the feed once. It returns whether there are changes.
func (d *deployment) changes(request *http.Request, query, table string, after uint64) (*storeAnswer, bool, error) {
	d.dropped.mutex.Lock()
	defer d.dropped.mutex.Unlock()
	answered, err := d.call(request.Context(), request, query, nil)
	if err != nil || answered.status != http.StatusOK {
		return answered, false, err
	}
	var rows rowsAnswer
	decoder := json.NewDecoder(bytes.NewReader(answered.body))
	decoder.UseNumber()
	if err := decoder.Decode(&rows); err != nil {
		return nil, false, err
	}
	for _, each := range d.dropped.since(table, after, rows.Ver) {
		rows.Rows = append(rows.Rows, map[string]any{
			"table": each.table, "part": each.part, names.RowKey: each.key, "ver": json.Number(strconv.FormatUint(each.version, 10)), "gone": true,
		})
	}
	slices.SortStableFunc(rows.Rows, func(left, right map[string]any) int { return cmp.Compare(versionOf(left), versionOf(right)) })
	answered.body, err = json.Marshal(rows)
	return answered, len(rows.Rows) > 0, err
}

// versionOf returns the version of a row in an answer.
func versionOf(row map[string]any) uint64 {
	number, _ := row["ver"].(json.Number)
	version, _ := strconv.ParseUint(number.String(), 10, 64)
	return version
}
