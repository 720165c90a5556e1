package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
)

// byteOrderMark is the mark that spreadsheets write at the start of UTF-8
// files.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Parse reads a table from its pages as a spreadsheet saves them: cells
// separated by commas, semicolons or tabs, with or without a byte order mark,
// quotes and CRLF. The first page contains the header; later pages may repeat
// it.
//
// It reports all faults at once. If there is any fault the table is nil: a
// table is accepted as a whole or not at all, so that a partly valid edit never
// takes effect.
func Parse(revision uint64, pages [][]byte) (*Table, Faults) {
	p := parse(revision, pages)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.builder.table, nil
}

// ParseEpoch returns the epoch in the pages, even if they have faults elsewhere.
// It returns 0 if they contain no epoch.
func ParseEpoch(pages [][]byte) uint64 { return parse(0, pages).builder.table.Epoch }

func parse(revision uint64, pages [][]byte) *parser {
	p := &parser{builder: newBuilder(revision)}
	if len(pages) == 0 || len(pages) > maxPages {
		p.faults.add(Fault{Column: colKind, Value: strconv.Itoa(len(pages)) + " pages", Allowed: "1 to 64 pages"})
		return p
	}
	for i, page := range pages {
		p.page = i
		p.readPage(page)
		if p.header == nil {
			return p
		}
	}
	p.builder.checkServiceReferences(&p.faults)
	return p
}

// parser reads the pages and passes each row to the builder.
type parser struct {
	builder   *builder
	faults    Faults
	page      int
	delimiter rune
	// header holds the column name of each cell; it is nil until the header row
	// has been read.
	header   []string
	index    map[string]int
	rowCount int
}

func (p *parser) readPage(page []byte) {
	if len(page) > MaxPageBytes {
		p.faults.add(Fault{Page: p.page, Column: colKind, Value: strconv.Itoa(len(page)) + " bytes", Allowed: "at most 1 MiB in a page"})
	}
	page = bytes.TrimPrefix(page, byteOrderMark)
	if p.header == nil {
		p.delimiter = detectDelimiter(page)
	}
	reader := csv.NewReader(bytes.NewReader(page))
	reader.Comma = p.delimiter
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	isFirst := true
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.addSyntaxFault(err)
			continue
		}
		line, _ := reader.FieldPos(0)
		if !p.readRecord(line, cells, isFirst) {
			return
		}
		isFirst = false
	}
	if p.header == nil {
		p.faults.add(Fault{Page: p.page, Column: colKind, Allowed: "a header row"})
	}
}

// addSyntaxFault records a row that is not valid CSV. The reader continues with
// the next line.
func (p *parser) addSyntaxFault(err error) {
	line := 0
	var parseErr *csv.ParseError
	if errors.As(err, &parseErr) {
		line = parseErr.StartLine
	}
	p.faults.add(Fault{Page: p.page, Row: line, Column: "(row)", Value: "not CSV", Allowed: "cells in quotes, a quote within one doubled"})
}

// readRecord processes one line. It returns false if the rest of the page is to
// be skipped.
func (p *parser) readRecord(line int, cells []string, isFirst bool) bool {
	if isFirst && isHeader(cells) {
		return p.readHeader(line, cells)
	}
	if p.header == nil {
		p.faults.add(Fault{Page: p.page, Row: line, Column: colKind, Value: cells[0], Allowed: "a header row with " + colKind + ", " + colName})
		return false
	}
	if allBlank(cells) {
		return true
	}
	p.rowCount++
	if p.rowCount > maxRows {
		p.faults.add(Fault{Page: p.page, Row: line, Column: colKind, Value: strconv.Itoa(p.rowCount), Allowed: "at most 50000 rows"})
		return false
	}
	if len(cells) > len(p.header) && !allBlank(cells[len(p.header):]) {
		p.faults.add(Fault{Page: p.page, Row: line, Column: "(row)", Value: strconv.Itoa(len(cells)) + " cells", Allowed: "as many cells as the header has"})
	}
	row := rowReader{pos: position{p.page, line}, header: p.header, index: p.index, cells: cells, faults: &p.faults}
	p.builder.add(&row)
	return true
}

func (p *parser) readHeader(line int, cells []string) bool {
	names := make([]string, len(cells))
	for i, c := range cells {
		names[i] = strings.ToLower(strings.TrimSpace(c))
	}
	if p.header != nil {
		if !slices.Equal(names, p.header) {
			p.faults.add(Fault{Page: p.page, Row: line, Column: "(header)", Value: strings.Join(names, ","), Allowed: "the same header as on the first page, or none"})
		}
		return true
	}
	seenNames := map[string]bool{}
	for _, n := range names {
		if n != "" && (seenNames[n] || !slices.Contains(columns, n)) {
			p.faults.add(Fault{Page: p.page, Row: line, Column: "(header)", Value: n, Allowed: "each once: " + strings.Join(columns, ", ")})
		}
		seenNames[n] = true
	}
	if !seenNames[colName] {
		p.faults.add(Fault{Page: p.page, Row: line, Column: "(header)", Value: "", Allowed: "a column " + colName})
	}
	p.header, p.index = names, columnIndexes(names)
	return true
}

// detectDelimiter derives the delimiter from the header line. Spreadsheets of
// many locales write semicolons.
func detectDelimiter(page []byte) rune {
	header, _, _ := bytes.Cut(page, []byte("\n"))
	for _, c := range []rune{',', ';', '\t'} {
		if bytes.ContainsRune(header, c) {
			return c
		}
	}
	return ','
}

func isHeader(cells []string) bool {
	for _, c := range cells {
		if strings.EqualFold(strings.TrimSpace(c), colKind) {
			return true
		}
	}
	return false
}

func allBlank(cells []string) bool {
	for _, c := range cells {
		if strings.TrimSpace(c) != "" {
			return false
		}
	}
	return true
}

func columnIndexes(header []string) map[string]int {
	m := make(map[string]int, len(header))
	for i, h := range header {
		m[h] = i
	}
	return m
}
