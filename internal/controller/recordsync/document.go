package recordsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rolloutwire"
)

// document is the configuration in force as rows, so that hosts tell each
// other the rows that changed and not the whole: operators may add a thousand
// routes at once, and then change one.
//
// It is not safe for concurrent use.
type document struct {
	rows *rollout.Document
	// parts are the rows as they were parsed, by key.
	parts map[string]part
	// packed are the last deltas that were given away, newest last, compressed
	// once for all that ask.
	packed []packedDelta
}

// part is one row's content; exactly one field is set.
type part struct {
	Route   *directory.Route   `json:"route,omitempty"`
	Service *directory.Service `json:"service,omitempty"`
	Account *directory.Account `json:"account,omitempty"`
	Rest    *rest              `json:"rest,omitempty"`
}

// rest is what a configuration holds beside its lists.
type rest struct {
	Version uint64           `json:"version"`
	Limits  directory.Limits `json:"limits"`
	// NeedsAccounts tells no list of accounts, with which no request needs a
	// key, from an empty one.
	NeedsAccounts bool `json:"needs_accounts"`
}

// packedDelta is what leads from one revision to another, compressed.
type packedDelta struct {
	from, to uint64
	bytes    []byte
}

// keepPacked bounds the compressed deltas that are kept: those that lag behind
// do so from two or three versions.
const keepPacked = 3

func newDocument() *document {
	return &document{rows: rollout.NewDocument(), parts: map[string]part{}}
}

// revision is the store's at the configuration in force, 0 for none.
func (d *document) revision() uint64 { return d.rows.Head().Version.Revision }

// replace takes a whole configuration that the store gave, and gives it as put
// together from its rows; nil when it is not newer than what is in force.
func (d *document) replace(c *directory.Config, revision uint64) (*directory.Config, error) {
	rows, err := rowsOf(c)
	if err != nil {
		return nil, err
	}
	head := rollout.Head{Version: rollout.Version{Revision: revision}, Digest: rollout.ComputeDigest(rows)}
	taken, _, err := d.take(rollout.Delta{Head: head, Full: true, Rows: rows})
	return taken, err
}

// take works a delta in. It gives the configuration when that changed it; gap
// tells that the delta doesn't fit, and the whole has to be fetched.
func (d *document) take(delta rollout.Delta) (c *directory.Config, gap bool, err error) {
	verdict, changed := d.rows.Evaluate(delta)
	if verdict != rollout.VerdictApply {
		return nil, verdict == rollout.VerdictGap, nil
	}
	parsed, err := parseRows(changed)
	if err != nil {
		return nil, false, err
	}
	d.rows.Commit(delta, changed)
	for _, r := range changed {
		delete(d.parts, r.Key)
	}
	for key, p := range parsed {
		d.parts[key] = p
	}
	return d.config(), false, nil
}

// deltaFrom gives what leads from a revision to the head when it is no longer
// than a number of bytes; nil when it is, or when there is nothing to tell.
func (d *document) deltaFrom(revision uint64, most int) *rollout.Delta {
	if revision >= d.revision() || revision == 0 {
		return nil
	}
	delta := d.rows.DeltaSince(rollout.Version{Revision: revision})
	size := 0
	for _, r := range delta.Rows {
		size += len(r.Key) + len(r.Text)
	}
	if size > most {
		return nil
	}
	return &delta
}

// pack gives what leads from a revision to the head, compressed.
func (d *document) pack(revision uint64) ([]byte, error) {
	for _, p := range d.packed {
		if p.from == revision && p.to == d.revision() {
			return p.bytes, nil
		}
	}
	plain, err := proto.Marshal(rolloutwire.ToDelta("", d.rows.DeltaSince(rollout.Version{Revision: revision})))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "configuration can't be encoded")
	}
	packed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	d.keep(packedDelta{from: revision, to: d.revision(), bytes: packed})
	return packed, nil
}

// keep remembers a delta; those to older configurations go.
func (d *document) keep(p packedDelta) {
	d.packed = slices.DeleteFunc(d.packed, func(old packedDelta) bool { return old.to != p.to })
	d.packed = append(d.packed, p)
	d.packed = d.packed[max(0, len(d.packed)-keepPacked):]
}

// takePacked works in a delta that a peer gave and keeps its bytes, to give
// them on as they are.
func (d *document) takePacked(packed []byte) (c *directory.Config, gap bool, err error) {
	plain, err := decompress(packed)
	if err != nil {
		return nil, false, err
	}
	var wire filbertv1.DocumentDelta
	if err := proto.Unmarshal(plain, &wire); err != nil {
		return nil, false, failure.Wrap(err, failure.KindConfigUnreadable, "configuration of a peer")
	}
	from := d.revision()
	c, gap, err = d.take(rolloutwire.FromDelta(&wire))
	if c != nil {
		d.keep(packedDelta{from: from, to: d.revision(), bytes: packed})
	}
	return c, gap, err
}

// config puts the parsed rows together.
func (d *document) config() *directory.Config {
	keys := make([]string, 0, len(d.parts))
	for key := range d.parts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	c := &directory.Config{}
	for _, key := range keys {
		switch p := d.parts[key]; {
		case p.Route != nil:
			c.Routes = append(c.Routes, *p.Route)
		case p.Service != nil:
			c.Services = append(c.Services, *p.Service)
		case p.Account != nil:
			c.Accounts = append(c.Accounts, *p.Account)
		case p.Rest != nil:
			c.Version, c.Limits = p.Rest.Version, p.Rest.Limits
			if p.Rest.NeedsAccounts && c.Accounts == nil {
				c.Accounts = []directory.Account{}
			}
		}
	}
	return c
}

// rowsOf gives a configuration as rows in the order of their keys.
func rowsOf(c *directory.Config) ([]rollout.Row, error) {
	b := rowBuilder{used: map[string]int{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		b.add("route/"+r.Host+r.Prefix+" "+r.Name, part{Route: r})
	}
	for i := range c.Services {
		b.add("service/"+c.Services[i].Name, part{Service: &c.Services[i]})
	}
	for i := range c.Accounts {
		b.add("account/"+c.Accounts[i].Name, part{Account: &c.Accounts[i]})
	}
	// Accounts are put together before this row is read: keys are sorted.
	b.add("rest", part{Rest: &rest{Version: c.Version, Limits: c.Limits, NeedsAccounts: c.Accounts != nil}})
	slices.SortFunc(b.rows, func(x, y rollout.Row) int { return strings.Compare(x.Key, y.Key) })
	return b.rows, b.err
}

// rowBuilder gives each row a key of its own, also where operators repeat a
// name.
type rowBuilder struct {
	rows []rollout.Row
	used map[string]int
	err  error
}

func (b *rowBuilder) add(key string, p part) {
	if n := b.used[key]; n > 0 {
		b.used[key]++
		key += " " + strconv.Itoa(n)
	} else {
		b.used[key] = 1
	}
	text, err := json.Marshal(p)
	if err != nil {
		b.err = failure.Wrap(err, failure.KindInternal, "row %q can't be encoded", key)
		return
	}
	b.rows = append(b.rows, rollout.Row{Key: key, Text: string(text)})
}

func parseRows(rows []rollout.Row) (map[string]part, error) {
	parts := make(map[string]part, len(rows))
	for _, r := range rows {
		if r.Text == "" {
			continue
		}
		var p part
		if err := json.Unmarshal([]byte(r.Text), &p); err != nil {
			return nil, failure.Wrap(err, failure.KindConfigUnreadable, "row %q of a peer", r.Key)
		}
		parts[r.Key] = p
	}
	return parts, nil
}

// maxBulk bounds a configuration, or the records of all targets, in bytes once
// they are unpacked.
const maxBulk = 8 << 20

func compress(plain []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "compression")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "compression")
	}
	if err := w.Close(); err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "compression")
	}
	return out.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindConfigUnreadable, "what a peer gave can't be unpacked")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxBulk+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindConfigUnreadable, "what a peer gave can't be unpacked")
	}
	if len(plain) > maxBulk {
		return nil, failure.New(failure.KindConfigUnreadable, "what a peer gave is longer than %d bytes", maxBulk)
	}
	return plain, nil
}
