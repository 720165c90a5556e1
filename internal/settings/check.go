package settings

import (
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var durationType = reflect.TypeOf(time.Duration(0))

// Check tests every value of a settings struct against its check tag.
func Check(dest any) []Fault {
	var faults []Fault
	for _, b := range bindings(dest) {
		if b.value.Kind() == reflect.Slice {
			for i := range b.value.Len() {
				faults = append(faults, b.test(b.value.Index(i))...)
			}
			continue
		}
		faults = append(faults, b.test(b.value)...)
	}
	return faults
}

func (b binding) test(v reflect.Value) []Fault {
	if reason := violation(b.check, v); reason != "" {
		return []Fault{{Field: b.Field, Value: text(v), Reason: reason}}
	}
	return nil
}

func violation(check string, v reflect.Value) string {
	low, high, ranged := strings.Cut(check, "..")
	switch {
	case check == "":
		return ""
	case ranged:
		return outside(low, high, v)
	case strings.HasSuffix(check, "?") && text(v) == "":
		return ""
	case strings.HasPrefix(check, "hostport"):
		return notAddress(text(v))
	case strings.HasPrefix(check, "file"):
		return notReadable(text(v))
	case check == "text":
		return emptyText(text(v))
	case strings.Contains(check, "|"):
		return notAmong(strings.Split(check, "|"), text(v))
	}
	return ""
}

func outside(low, high string, v reflect.Value) string {
	n, lo, hi, ok := number(v, low, high)
	if !ok {
		return "the declared range " + low + ".." + high + " cannot be read"
	}
	if n < lo || n > hi {
		return "out of range"
	}
	return ""
}

func number(v reflect.Value, low, high string) (n, lo, hi float64, ok bool) {
	if v.Type() == durationType {
		l, errLow := time.ParseDuration(low)
		h, errHigh := time.ParseDuration(high)
		return float64(v.Int()), float64(l), float64(h), errLow == nil && errHigh == nil
	}
	lo, errLow := strconv.ParseFloat(low, 64)
	hi, errHigh := strconv.ParseFloat(high, 64)
	if errLow != nil || errHigh != nil {
		return 0, 0, 0, false
	}
	switch {
	case v.CanInt():
		return float64(v.Int()), lo, hi, true
	case v.CanUint():
		return float64(v.Uint()), lo, hi, true
	case v.CanFloat():
		return v.Float(), lo, hi, true
	}
	return 0, 0, 0, false
}

func notAddress(s string) string {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return "not an IP number with a port"
	}
	return ""
}

func notReadable(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return "cannot be read"
	}
	_ = f.Close()
	return ""
}

func emptyText(s string) string {
	if strings.TrimSpace(s) == "" {
		return "is empty"
	}
	return ""
}

func notAmong(allowed []string, s string) string {
	for _, a := range allowed {
		if a == s {
			return ""
		}
	}
	return "not one of the choices"
}

func text(v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return time.Duration(v.Int()).String()
	case v.Kind() == reflect.String:
		return v.String()
	case v.CanInt():
		return strconv.FormatInt(v.Int(), 10)
	case v.CanUint():
		return strconv.FormatUint(v.Uint(), 10)
	case v.CanFloat():
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	}
	return v.String()
}

func describe(check string, kind reflect.Kind) string {
	optional := ""
	if strings.HasSuffix(check, "?") {
		optional = " or empty"
	}
	switch {
	case kind == reflect.Bool:
		return "true or false"
	case strings.HasPrefix(check, "hostport"):
		return "ip:port" + optional
	case strings.HasPrefix(check, "file"):
		return "a readable file" + optional
	case check == "text":
		return "text that is not empty"
	case strings.Contains(check, ".."):
		low, high, _ := strings.Cut(check, "..")
		return low + " to " + high
	case strings.Contains(check, "|"):
		return strings.Join(strings.Split(check, "|"), ", ")
	}
	return "any"
}
