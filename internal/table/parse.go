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

// byteOrderMark is what spreadsheets put in front of UTF-8.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Parse reads a table from its pages as a spreadsheet saves them: comma,
// semicolon or tab between the cells, with or without a byte order mark,
// quotes and CRLF. The first page has the header; later ones may repeat it.
//
// It finds every fault at once. With any fault the table is nil: a table is
// taken whole or not at all, so that no half of an edit is ever in force.
func Parse(revision uint64, pages [][]byte) (*Table, Faults) {
	p := parse(revision, pages)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.build.table, nil
}

// ParseEpoch gives the epoch that pages carry, also when they have faults
// elsewhere; 0 when they name none.
func ParseEpoch(pages [][]byte) uint64 { return parse(0, pages).build.table.Epoch }

func parse(revision uint64, pages [][]byte) *parser {
	p := &parser{build: newBuilder(revision)}
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
	p.build.finish(&p.faults)
	return p
}

// parser walks the pages and hands each row to the builder.
type parser struct {
	build  *builder
	faults Faults
	page   int
	comma  rune
	// header gives the canonical column of each cell; nil until it was read.
	header []string
	index  map[string]int
	rows   int
}

func (p *parser) readPage(page []byte) {
	if len(page) > MaxPageBytes {
		p.faults.add(Fault{Page: p.page, Column: colKind, Value: strconv.Itoa(len(page)) + " bytes", Allowed: "at most 1 MiB in a page"})
	}
	page = bytes.TrimPrefix(page, byteOrderMark)
	if p.header == nil {
		p.comma = delimiter(page)
	}
	r := csv.NewReader(bytes.NewReader(page))
	r.Comma = p.comma
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	first := true
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.syntax(err)
			continue
		}
		line, _ := r.FieldPos(0)
		if !p.record(line, cells, first) {
			return
		}
		first = false
	}
	if p.header == nil {
		p.faults.add(Fault{Page: p.page, Column: colKind, Allowed: "a header row"})
	}
}

// syntax notes a row that is no CSV. The reader goes on with the next line.
func (p *parser) syntax(err error) {
	line := 0
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		line = pe.StartLine
	}
	p.faults.add(Fault{Page: p.page, Row: line, Column: "(row)", Value: "not CSV", Allowed: "cells in quotes, a quote within one doubled"})
}

// record takes one line; false stops the page.
func (p *parser) record(line int, cells []string, first bool) bool {
	if first && isHeader(cells) {
		return p.readHeader(line, cells)
	}
	if p.header == nil {
		p.faults.add(Fault{Page: p.page, Row: line, Column: colKind, Value: cells[0], Allowed: "a header row with " + colKind + ", " + colName})
		return false
	}
	if blank(cells) {
		return true
	}
	p.rows++
	if p.rows > maxRows {
		p.faults.add(Fault{Page: p.page, Row: line, Column: colKind, Value: strconv.Itoa(p.rows), Allowed: "at most 50000 rows"})
		return false
	}
	if len(cells) > len(p.header) && !blank(cells[len(p.header):]) {
		p.faults.add(Fault{Page: p.page, Row: line, Column: "(row)", Value: strconv.Itoa(len(cells)) + " cells", Allowed: "as many cells as the header has"})
	}
	row := rowReader{at: place{p.page, line}, header: p.header, index: p.index, cells: cells, faults: &p.faults}
	p.build.add(&row)
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
	seen := map[string]bool{}
	for _, n := range names {
		if n != "" && (seen[n] || !slices.Contains(columns, n)) {
			p.faults.add(Fault{Page: p.page, Row: line, Column: "(header)", Value: n, Allowed: "each once: " + strings.Join(columns, ", ")})
		}
		seen[n] = true
	}
	if !seen[colName] {
		p.faults.add(Fault{Page: p.page, Row: line, Column: "(header)", Value: "", Allowed: "a column " + colName})
	}
	p.header, p.index = names, indexOf(names)
	return true
}

// delimiter guesses what stands between the cells from the header's line;
// spreadsheets of many countries save a semicolon.
func delimiter(page []byte) rune {
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

func blank(cells []string) bool {
	for _, c := range cells {
		if strings.TrimSpace(c) != "" {
			return false
		}
	}
	return true
}

func indexOf(header []string) map[string]int {
	m := make(map[string]int, len(header))
	for i, h := range header {
		m[h] = i
	}
	return m
}
