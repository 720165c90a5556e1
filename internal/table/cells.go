package table

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"
)

// position is the location of a row.
type position struct{ page, row int }

// rowReader reads typed values from the cells of one row and records each
// fault.
type rowReader struct {
	pos    position
	header []string
	// index maps each column to its position in the header.
	index  map[string]int
	cells  []string
	faults *Faults
	failed bool
}

func (r *rowReader) cell(column string) string {
	i, ok := r.index[column]
	if !ok || i >= len(r.cells) {
		return ""
	}
	return strings.TrimSpace(r.cells[i])
}

func (r *rowReader) fault(column, value, allowed string) {
	r.failed = true
	r.faults.add(Fault{Page: r.pos.page, Row: r.pos.row, Column: column, Value: value, Allowed: allowed})
}

// rejectUnusedColumns records a fault for each cell that this kind of row does
// not use.
func (r *rowReader) rejectUnusedColumns(kind RowKind) {
	for i, h := range r.header {
		if i >= len(r.cells) || columnsByKind[kind][h] {
			continue
		}
		if v := strings.TrimSpace(r.cells[i]); v != "" {
			r.fault(h, v, "empty in a row of kind "+string(kind))
		}
	}
}

// validName reports whether a name may appear in a URL, a metric and a log.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !letterOrDigit(name[0]) {
		return false
	}
	for i := range len(name) {
		if !letterOrDigit(name[i]) && !strings.ContainsRune("._-", rune(name[i])) {
			return false
		}
	}
	return true
}

func letterOrDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
}

func (r *rowReader) name() string {
	v := r.cell(colName)
	if !validName(v) {
		r.fault(colName, v, "1 to 64 letters, digits, dots, hyphens and underscores, first a letter or digit")
	}
	return strings.Clone(v)
}

// float reads a number above 0, or from 0 if allowZero is set, up to limit.
func (r *rowReader) float(column string, fallback, limit float64, allowZero bool) float64 {
	v := r.cell(column)
	if v == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(number) || number < 0 || number > limit || (number == 0 && !allowZero) {
		lowerBound := "above 0"
		if allowZero {
			lowerBound = "from 0"
		}
		r.fault(column, v, "a number "+lowerBound+" to "+strconv.FormatFloat(limit, 'f', -1, 64)+" with a decimal point")
		return fallback
	}
	return number
}

func (r *rowReader) integer(column string, fallback, low, high int) int {
	v := r.cell(column)
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.fault(column, v, "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
		return fallback
	}
	return n
}

func (r *rowReader) milliseconds(column string, fallback, high time.Duration) time.Duration {
	n := r.integer(column, int(fallback.Milliseconds()), 1, int(high.Milliseconds()))
	return time.Duration(n) * time.Millisecond
}

// stringList splits a cell at the separator. A duplicate or empty item is a
// fault.
func (r *rowReader) stringList(column string, maxItems int) []string {
	v := r.cell(column)
	if v == "" {
		return nil
	}
	parts := strings.Split(v, listSeparator)
	if len(parts) > maxItems {
		r.fault(column, v, "at most "+strconv.Itoa(maxItems)+" members separated by "+listSeparator)
		return nil
	}
	for i := range parts {
		parts[i] = strings.Clone(strings.TrimSpace(parts[i]))
		for _, earlier := range parts[:i] {
			if earlier == parts[i] {
				r.fault(column, parts[i], "each member once")
			}
		}
	}
	return parts
}

func (r *rowReader) keyHashes() [][32]byte {
	parts := r.stringList(colKeyHashes, maxKeysPerAccount)
	hashes := make([][32]byte, 0, len(parts))
	for _, p := range parts {
		var hash [32]byte
		n, err := hex.Decode(hash[:], []byte(p[:min(len(p), hex.EncodedLen(len(hash)))]))
		if err != nil || n != len(hash) || len(p) != hex.EncodedLen(len(hash)) {
			r.fault(colKeyHashes, "", "SHA-256 digests, 64 hexadecimal digits each, separated by "+listSeparator)
			continue
		}
		hashes = append(hashes, hash)
	}
	return hashes
}

// enumValue reads one of a fixed set of values.
func enumValue[T ~string](r *rowReader, column string, fallback T, allowed ...T) T {
	v := T(strings.ToLower(r.cell(column)))
	if v == "" {
		return fallback
	}
	names := make([]string, len(allowed))
	for i, a := range allowed {
		if v == a {
			return a
		}
		names[i] = string(a)
	}
	r.fault(column, string(v), "one of "+strings.Join(names, ", "))
	return fallback
}
