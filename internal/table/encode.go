package table

import (
	"bytes"
	"encoding/csv"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// The prefixes of row keys. A row key identifies a row across revisions.
const (
	accountPrefix = "account/"
	servicePrefix = "service/"
	// EpochKey is the key of the epoch row.
	EpochKey = "epoch/"
)

// AccountKey returns the key of an account's row.
func AccountKey(name string) string { return accountPrefix + name }

// ServiceKey returns the key of a service's row.
func ServiceKey(name string) string { return servicePrefix + name }

// EncodedRow is one row in canonical form: all defaults are written out, so
// that rows with the same meaning have the same text.
type EncodedRow struct {
	Key string
	// Text is the row as CSV without the line terminator.
	Text string
}

// EncodeRows returns the rows of the table in canonical form and order. The drain
// list and the targets are not part of them.
func (t *Table) EncodeRows() []EncodedRow {
	lines := make([]EncodedRow, 0, len(t.Accounts)+len(t.Services)+1)
	enc := newLineEncoder()
	if t.Epoch > 0 {
		lines = append(lines, EncodedRow{EpochKey, enc.line(string(RowEpoch), strconv.FormatUint(t.Epoch, 10))})
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		lines = append(lines, EncodedRow{ServiceKey(name), enc.service(t.Services[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(t.Accounts)) {
		lines = append(lines, EncodedRow{AccountKey(name), enc.account(t.Accounts[name])})
	}
	return lines
}

// EncodePages returns the table as canonical pages of at most MaxPage bytes each;
// the first contains the header. Parse reads them back to an equal table.
func EncodePages(t *Table) [][]byte {
	page := bytes.NewBuffer(nil)
	page.WriteString(strings.Join(columns, ",") + "\n")
	var pages [][]byte
	for _, l := range t.EncodeRows() {
		if page.Len()+len(l.Text)+1 > MaxPageBytes {
			pages = append(pages, page.Bytes())
			page = bytes.NewBuffer(nil)
		}
		page.WriteString(l.Text)
		page.WriteByte('\n')
	}
	return append(pages, page.Bytes())
}

// lineEncoder encodes rows. It is reused, so that encoding 11,000 rows does not
// allocate 11,000 writers.
type lineEncoder struct {
	buf bytes.Buffer
	csv *csv.Writer
}

func newLineEncoder() *lineEncoder {
	e := &lineEncoder{}
	e.csv = csv.NewWriter(&e.buf)
	return e
}

// line encodes the cells and leaves the remaining columns empty.
func (e *lineEncoder) line(cells ...string) string {
	for len(cells) < len(columns) {
		cells = append(cells, "")
	}
	e.buf.Reset()
	// Writing to a buffer cannot fail.
	_ = e.csv.Write(cells)
	e.csv.Flush()
	return strings.TrimSuffix(e.buf.String(), "\n")
}

func (e *lineEncoder) account(a *Account) string {
	keys := make([]string, len(a.KeyHashes))
	for i, k := range a.KeyHashes {
		keys[i] = hex.EncodeToString(k[:])
	}
	return e.line(string(RowAccount), a.Name, formatFloat(a.Weight), strconv.Itoa(a.MaxRunning),
		formatFloat(a.TokensPerSecond), strconv.Itoa(a.Priority), strings.Join(keys, listSeparator),
		strings.Join(a.Services, listSeparator))
}

func (e *lineEncoder) service(s *Service) string {
	maxTokens := ""
	if s.Type == ServiceGeneration {
		maxTokens = strconv.Itoa(s.MaxTokens)
	}
	return e.line(string(RowService), s.Name, "", "", "", "", "", "", string(s.Type), string(s.Delivery),
		maxTokens, strconv.FormatInt(s.MaxWait.Milliseconds(), 10), strconv.Itoa(s.QueueLimit))
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
