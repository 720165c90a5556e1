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

// document holds the configuration in force as rows, so that hosts send each
// other only the rows that changed: operators may add a thousand routes at
// once, and then change one.
//
// It is not safe for concurrent use.
type document struct {
	rows *rollout.Document
	// contents holds the parsed rows by key.
	contents map[string]rowContent
	// compressed holds the deltas sent last, newest last. Each is compressed
	// once for all hosts that request it.
	compressed []compressedDelta
}

// rowContent is the content of one row; exactly one field is set.
type rowContent struct {
	Route   *directory.Route   `json:"route,omitempty"`
	Service *directory.Service `json:"service,omitempty"`
	Account *directory.Account `json:"account,omitempty"`
	Globals *globals           `json:"rest,omitempty"`
}

// globals holds the parts of a configuration that are not lists.
type globals struct {
	Version uint64           `json:"version"`
	Limits  directory.Limits `json:"limits"`
	// NeedsAccounts distinguishes a missing list of accounts, with which no
	// request needs a key, from an empty one.
	NeedsAccounts bool `json:"needs_accounts"`
}

// compressedDelta is the compressed change from one version of the configuration
// to another.
type compressedDelta struct {
	from, to uint64
	bytes    []byte
}

// maxCompressedDeltas bounds the compressed deltas that are kept: hosts that
// are behind hold one of two or three versions.
const maxCompressedDeltas = 3

func newDocument() *document {
	return &document{rows: rollout.NewDocument(), contents: map[string]rowContent{}}
}

// version returns the version of the configuration in force, 0 if there is none.
// Operators number the versions, so they stay in order when the store is restored
// from a copy.
func (d *document) version() uint64 { return d.rows.Head().Version.Revision }

// replaceConfig replaces the document by a configuration read from the store,
// and returns the configuration as rebuilt from the rows; nil if it is not
// newer than the one in force.
func (d *document) replaceConfig(c *directory.Config) (*directory.Config, error) {
	rows, err := rowsOf(c)
	if err != nil {
		return nil, err
	}
	head := rollout.Head{Version: rollout.Version{Revision: c.Version}, Digest: rollout.ComputeDigest(rows)}
	inForce, _, err := d.applyDelta(rollout.Delta{Head: head, Full: true, Rows: rows})
	return inForce, err
}

// applyDelta applies a delta and returns the configuration if it changed. gap
// reports that the delta does not apply to the version in force and the whole
// configuration has to be fetched.
func (d *document) applyDelta(delta rollout.Delta) (c *directory.Config, gap bool, err error) {
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
		delete(d.contents, r.Key)
	}
	for key, content := range parsed {
		d.contents[key] = content
	}
	return d.config(), false, nil
}

// deltaFrom returns the changes from a version to the one in force; nil if
// there are none or if they are larger than maxBytes.
func (d *document) deltaFrom(version uint64, maxBytes int) *rollout.Delta {
	if version >= d.version() || version == 0 {
		return nil
	}
	delta := d.rows.DeltaSince(rollout.Version{Revision: version})
	size := 0
	for _, r := range delta.Rows {
		size += len(r.Key) + len(r.Text)
	}
	if size > maxBytes {
		return nil
	}
	return &delta
}

// compressedSince returns the compressed changes from a version to the one in
// force.
func (d *document) compressedSince(version uint64) ([]byte, error) {
	for _, cached := range d.compressed {
		if cached.from == version && cached.to == d.version() {
			return cached.bytes, nil
		}
	}
	plain, err := proto.Marshal(rolloutwire.ToDelta("", d.rows.DeltaSince(rollout.Version{Revision: version})))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "encode configuration")
	}
	compressed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	d.cacheCompressed(compressedDelta{from: version, to: d.version(), bytes: compressed})
	return compressed, nil
}

// cacheCompressed keeps a compressed delta, and drops those that lead to other
// versions.
func (d *document) cacheCompressed(delta compressedDelta) {
	d.compressed = slices.DeleteFunc(d.compressed, func(old compressedDelta) bool { return old.to != delta.to })
	d.compressed = append(d.compressed, delta)
	d.compressed = d.compressed[max(0, len(d.compressed)-maxCompressedDeltas):]
}

// applyCompressed applies a compressed delta from a peer and keeps its bytes,
// which are sent on unchanged.
func (d *document) applyCompressed(compressed []byte) (c *directory.Config, gap bool, err error) {
	plain, err := decompress(compressed)
	if err != nil {
		return nil, false, err
	}
	var wire filbertv1.DocumentDelta
	if err := proto.Unmarshal(plain, &wire); err != nil {
		return nil, false, failure.Wrap(err, failure.KindConfigUnreadable, "decode configuration from a peer")
	}
	from := d.version()
	c, gap, err = d.applyDelta(rolloutwire.FromDelta(&wire))
	if c != nil {
		d.cacheCompressed(compressedDelta{from: from, to: d.version(), bytes: compressed})
	}
	return c, gap, err
}

// config builds the configuration from the parsed rows.
func (d *document) config() *directory.Config {
	keys := make([]string, 0, len(d.contents))
	for key := range d.contents {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	c := &directory.Config{}
	for _, key := range keys {
		switch content := d.contents[key]; {
		case content.Route != nil:
			c.Routes = append(c.Routes, *content.Route)
		case content.Service != nil:
			c.Services = append(c.Services, *content.Service)
		case content.Account != nil:
			c.Accounts = append(c.Accounts, *content.Account)
		case content.Globals != nil:
			c.Version, c.Limits = content.Globals.Version, content.Globals.Limits
			if content.Globals.NeedsAccounts && c.Accounts == nil {
				c.Accounts = []directory.Account{}
			}
		}
	}
	return c
}

// rowsOf returns a configuration as rows, sorted by key.
func rowsOf(c *directory.Config) ([]rollout.Row, error) {
	b := rowBuilder{keyCounts: map[string]int{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		b.add("route/"+r.Host+r.Prefix+" "+r.Name, rowContent{Route: r})
	}
	for i := range c.Services {
		b.add("service/"+c.Services[i].Name, rowContent{Service: &c.Services[i]})
	}
	for i := range c.Accounts {
		b.add("account/"+c.Accounts[i].Name, rowContent{Account: &c.Accounts[i]})
	}
	// Keys are sorted, so config reads the accounts before this row.
	b.add("rest", rowContent{Globals: &globals{Version: c.Version, Limits: c.Limits, NeedsAccounts: c.Accounts != nil}})
	slices.SortFunc(b.rows, func(x, y rollout.Row) int { return strings.Compare(x.Key, y.Key) })
	return b.rows, b.err
}

// rowBuilder collects rows and makes their keys unique, even if operators use a
// name more than once.
type rowBuilder struct {
	rows      []rollout.Row
	keyCounts map[string]int
	err       error
}

func (b *rowBuilder) add(key string, content rowContent) {
	if n := b.keyCounts[key]; n > 0 {
		b.keyCounts[key]++
		key += " " + strconv.Itoa(n)
	} else {
		b.keyCounts[key] = 1
	}
	text, err := json.Marshal(content)
	if err != nil {
		b.err = failure.Wrap(err, failure.KindInternal, "encode row %q", key)
		return
	}
	b.rows = append(b.rows, rollout.Row{Key: key, Text: string(text)})
}

func parseRows(rows []rollout.Row) (map[string]rowContent, error) {
	contents := make(map[string]rowContent, len(rows))
	for _, row := range rows {
		if row.Text == "" {
			continue
		}
		var content rowContent
		if err := json.Unmarshal([]byte(row.Text), &content); err != nil {
			return nil, failure.Wrap(err, failure.KindConfigUnreadable, "decode row %q from a peer", row.Key)
		}
		contents[row.Key] = content
	}
	return contents, nil
}

// maxDecompressedBytes bounds the decompressed size in bytes of a
// configuration, or of the records of all targets.
const maxDecompressedBytes = 8 << 20

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

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindConfigUnreadable, "decompress data from a peer")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindConfigUnreadable, "decompress data from a peer")
	}
	if len(plain) > maxDecompressedBytes {
		return nil, failure.New(failure.KindConfigUnreadable, "data from a peer is longer than %d bytes after decompression", maxDecompressedBytes)
	}
	return plain, nil
}
