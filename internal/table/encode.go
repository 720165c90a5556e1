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

// The keys of rows: what names one row across revisions.
const (
	accountPrefix = "account/"
	servicePrefix = "service/"
	// EpochKey is the key of the table's own row.
	EpochKey = "epoch/"
)

// AccountKey gives the key of an account's row.
func AccountKey(name string) string { return accountPrefix + name }

// ServiceKey gives the key of a service's row.
func ServiceKey(name string) string { return servicePrefix + name }

// Line is one row in its canonical form: every default written out, so that
// two rows that mean the same are the same.
type Line struct {
	Key string
	// Text is the row's CSV without the end of line.
	Text string
}

// EncodeRows gives the table's rows in canonical form and order. Drain list and
// targets are no part of them.
func (t *Table) EncodeRows() []Line {
	lines := make([]Line, 0, len(t.Accounts)+len(t.Services)+1)
	enc := newLineEncoder()
	if t.Epoch > 0 {
		lines = append(lines, Line{EpochKey, enc.line(string(RowEpoch), strconv.FormatUint(t.Epoch, 10))})
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		lines = append(lines, Line{ServiceKey(name), enc.service(t.Services[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(t.Accounts)) {
		lines = append(lines, Line{AccountKey(name), enc.account(t.Accounts[name])})
	}
	return lines
}

// EncodePages gives the table as canonical pages, each at most MaxPage bytes; the
// first has the header. Parse reads them back to an equal table.
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

// lineEncoder writes rows; it is reused, so that 11,000 rows don't make
// 11,000 writers.
type lineEncoder struct {
	buf bytes.Buffer
	csv *csv.Writer
}

func newLineEncoder() *lineEncoder {
	e := &lineEncoder{}
	e.csv = csv.NewWriter(&e.buf)
	return e
}

// line writes the cells and fills the columns that are left with nothing.
func (e *lineEncoder) line(cells ...string) string {
	for len(cells) < len(columns) {
		cells = append(cells, "")
	}
	e.buf.Reset()
	// Writing to a buffer does not fail.
	_ = e.csv.Write(cells)
	e.csv.Flush()
	return strings.TrimSuffix(e.buf.String(), "\n")
}

func (e *lineEncoder) account(a *Account) string {
	keys := make([]string, len(a.KeyHashes))
	for i, k := range a.KeyHashes {
		keys[i] = hex.EncodeToString(k[:])
	}
	return e.line(string(RowAccount), a.Name, number(a.Weight), strconv.Itoa(a.MaxRunning),
		number(a.TokensPerSecond), strconv.Itoa(a.Priority), strings.Join(keys, listSeparator),
		strings.Join(a.Services, listSeparator))
}

func (e *lineEncoder) service(s *Service) string {
	tokens := ""
	if s.Type == ServiceGeneration {
		tokens = strconv.Itoa(s.MaxTokens)
	}
	return e.line(string(RowService), s.Name, "", "", "", "", "", "", string(s.Type), string(s.Delivery),
		tokens, strconv.FormatInt(s.MaxWait.Milliseconds(), 10), strconv.Itoa(s.QueueLimit))
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
