package table

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"
)

// place is where a row stands.
type place struct{ page, row int }

// rowReader reads typed values from one row's cells and notes each fault.
type rowReader struct {
	at     place
	header []string
	// index gives each column's place in the header.
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
	r.faults.add(Fault{Page: r.at.page, Row: r.at.row, Column: column, Value: value, Allowed: allowed})
}

// onlyUsed notes cells that this kind of row does not read.
func (r *rowReader) onlyUsed(kind RowKind) {
	for i, h := range r.header {
		if i >= len(r.cells) || used[kind][h] {
			continue
		}
		if v := strings.TrimSpace(r.cells[i]); v != "" {
			r.fault(h, v, "empty in a row of kind "+string(kind))
		}
	}
}

// validName tells whether a name may stand in a URL, a metric and a log.
func validName(name string) bool {
	if name == "" || len(name) > maxName || !letterOrDigit(name[0]) {
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

// float reads a number in (or, with zero allowed, from) 0 up to limit.
func (r *rowReader) float(column string, fallback, limit float64, zero bool) float64 {
	v := r.cell(column)
	if v == "" {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > limit || (f == 0 && !zero) {
		low := "above 0"
		if zero {
			low = "from 0"
		}
		r.fault(column, v, "a number "+low+" to "+strconv.FormatFloat(limit, 'f', -1, 64)+" with a decimal point")
		return fallback
	}
	return f
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

// list splits a cell; repeated and empty members are faults.
func (r *rowReader) list(column string, most int) []string {
	v := r.cell(column)
	if v == "" {
		return nil
	}
	parts := strings.Split(v, listSeparator)
	if len(parts) > most {
		r.fault(column, v, "at most "+strconv.Itoa(most)+" members separated by "+listSeparator)
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

func (r *rowReader) keys() [][32]byte {
	parts := r.list(colKeys, maxKeys)
	keys := make([][32]byte, 0, len(parts))
	for _, p := range parts {
		var k [32]byte
		n, err := hex.Decode(k[:], []byte(p[:min(len(p), hex.EncodedLen(len(k)))]))
		if err != nil || n != len(k) || len(p) != hex.EncodedLen(len(k)) {
			r.fault(colKeys, "", "SHA-256 digests, 64 hexadecimal digits each, separated by "+listSeparator)
			continue
		}
		keys = append(keys, k)
	}
	return keys
}

// choice reads one of a few words.
func choice[T ~string](r *rowReader, column string, fallback T, allowed ...T) T {
	v := T(strings.ToLower(r.cell(column)))
	if v == "" {
		return fallback
	}
	words := make([]string, len(allowed))
	for i, a := range allowed {
		if v == a {
			return a
		}
		words[i] = string(a)
	}
	r.fault(column, string(v), "one of "+strings.Join(words, ", "))
	return fallback
}
