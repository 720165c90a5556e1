package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strings"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// Document is a configuration that was read from its text.
type Document struct {
	Config *directory.Config
	text   []byte
	// offsets holds the offset of each value and unknown field by its place.
	offsets map[string]int
	// structural holds the findings that the decoded configuration does not show:
	// unknown and repeated fields.
	structural []Finding
}

// Read decodes a configuration in the JSON form of directory.Config. The error
// of a text that can't be decoded names the line, the column and, if known, the
// place. Neither it nor any finding contains values of the document other than
// names, because keys may stand at a wrong place.
func Read(text []byte) (*Document, error) {
	d := &Document{Config: &directory.Config{}, text: text, offsets: map[string]int{}}
	decodeErr := json.Unmarshal(text, d.Config)
	var syntax *json.SyntaxError
	if errors.As(decodeErr, &syntax) {
		// Offset counts the bytes up to and including the one at fault.
		line, column := d.lineColumn(max(int(syntax.Offset)-1, 0))
		return nil, failure.New(failure.KindBadRequest, "line %d, column %d: %s", line, column, syntax.Error())
	}
	w := walker{Document: d, decoder: json.NewDecoder(bytes.NewReader(text))}
	// Numbers out of the range of float64 are valid tokens here; Unmarshal reports
	// them with the type of their field.
	w.decoder.UseNumber()
	if err := w.value("", reflect.TypeFor[directory.Config]()); err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "the configuration's fields can't be read")
	}
	if w.mismatch != "" {
		line, column := d.lineColumn(w.mismatchOffset)
		return nil, failure.New(failure.KindBadRequest, "line %d, column %d: %s", line, column, w.mismatch)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(decodeErr, &mismatch) {
		place, offset := d.valueBefore(int(mismatch.Offset))
		line, column := d.lineColumn(offset)
		return nil, failure.New(failure.KindBadRequest, "line %d, column %d: %s must be %s", line, column, displayPlace(place), typeName(mismatch.Type))
	}
	if decodeErr != nil {
		return nil, failure.Wrap(decodeErr, failure.KindBadRequest, "the configuration can't be decoded")
	}
	return d, nil
}

// valueBefore returns the last value that starts before an offset.
func (d *Document) valueBefore(offset int) (place string, start int) {
	start = -1
	for p, o := range d.offsets {
		if o < offset && o > start {
			place, start = p, o
		}
	}
	return place, max(start, 0)
}

// lineColumn returns the line and the column, both from 1, of an offset. A
// column is a byte of its line.
func (d *Document) lineColumn(offset int) (line, column int) {
	before := d.text[:min(offset, len(d.text))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// displayPlace returns a place for messages.
func displayPlace(place string) string {
	if place == "" {
		return "the document"
	}
	return place
}

// typeName returns what a field of a type accepts.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Int, reflect.Int64:
		if t.String() == "time.Duration" {
			return "a whole number of nanoseconds"
		}
		return "a whole number"
	case reflect.Slice:
		return "a list"
	case reflect.Pointer:
		return typeName(t.Elem())
	}
	return "an object"
}

var plainName = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// walker visits the tokens of a valid document along the type that it is
// decoded into. DisallowUnknownFields stops at the first unknown field and gives
// no offset; repeated fields are not reported by encoding/json at all.
type walker struct {
	*Document
	decoder        *json.Decoder
	mismatch       string
	mismatchOffset int
}

// next returns the next token and the offset at which it starts.
func (w *walker) next() (json.Token, int, error) {
	start := int(w.decoder.InputOffset())
	for start < len(w.text) && strings.IndexByte(" \t\r\n,:", w.text[start]) >= 0 {
		start++
	}
	token, err := w.decoder.Token()
	return token, start, err
}

// value visits one value. t is nil for values that nothing is decoded from.
func (w *walker) value(place string, t reflect.Type) error {
	token, start, err := w.next()
	if err != nil {
		return err
	}
	if t != nil {
		w.offsets[place] = start
		for t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
	}
	switch token {
	case json.Delim('{'):
		if t != nil && t.Kind() != reflect.Struct {
			t = w.reportMismatch(place, start, t)
		}
		return w.object(place, t)
	case json.Delim('['):
		if t != nil && t.Kind() != reflect.Slice {
			t = w.reportMismatch(place, start, t)
		}
		return w.list(place, t)
	case nil:
		if place == "" {
			w.reportMismatch(place, start, t)
		}
	}
	return nil
}

// reportMismatch keeps the first value of a wrong type. It returns nil, the type of
// what is inside that value.
func (w *walker) reportMismatch(place string, start int, t reflect.Type) reflect.Type {
	if w.mismatch == "" {
		w.mismatch, w.mismatchOffset = fmt.Sprintf("%s must be %s", displayPlace(place), typeName(t)), start
	}
	return nil
}

func (w *walker) list(place string, t reflect.Type) error {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", place, i), element); err != nil {
			return err
		}
	}
	_, _, err := w.next()
	return err
}

func (w *walker) object(place string, t reflect.Type) error {
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for w.decoder.More() {
		token, start, err := w.next()
		if err != nil {
			return err
		}
		name, isName := token.(string)
		if !isName {
			return io.ErrUnexpectedEOF
		}
		field, known := fields[name]
		fieldPlace := join(place, name)
		switch {
		case t == nil:
		case !known:
			w.reportAt(start, fieldPlace, "no such field; field names are case-sensitive")
		case seen[name]:
			w.reportAt(start, fieldPlace, "the field is given more than once")
		}
		seen[name] = true
		if err := w.value(fieldPlace, field); err != nil {
			return err
		}
	}
	_, _, err := w.next()
	return err
}

func (w *walker) reportAt(offset int, place, message string) {
	line, column := w.lineColumn(offset)
	w.structural = append(w.structural, Finding{Severity: SeverityError, Place: place, Line: line, Column: column, Message: message})
}

// fieldTypes returns the types of a struct's JSON fields by name.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	if t == nil {
		return types
	}
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		types[name] = field.Type
	}
	return types
}

// join returns the place of a field. Unknown names are text of the document and may
// hold line breaks or terminal control sequences, so all but plain names are quoted.
func join(place, field string) string {
	if !plainName.MatchString(field) {
		return fmt.Sprintf("%s[%q]", place, field)
	}
	if place == "" {
		return field
	}
	return place + "." + field
}
