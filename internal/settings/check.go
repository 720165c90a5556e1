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

// Check validates every value of a settings struct against its check tag and
// returns the values that violate it.
func Check(dest any) []InvalidValue {
	var invalid []InvalidValue
	for _, bound := range bindings(dest) {
		if bound.value.Kind() == reflect.Slice {
			for i := range bound.value.Len() {
				invalid = append(invalid, bound.validate(bound.value.Index(i))...)
			}
			continue
		}
		invalid = append(invalid, bound.validate(bound.value)...)
	}
	return invalid
}

func (b binding) validate(v reflect.Value) []InvalidValue {
	if reason := violation(b.check, v); reason != "" {
		return []InvalidValue{{Field: b.Field, Value: formatValue(v), Reason: reason}}
	}
	return nil
}

func violation(check string, v reflect.Value) string {
	low, high, isRange := strings.Cut(check, "..")
	switch {
	case check == "":
		return ""
	case isRange:
		return rangeViolation(low, high, v)
	case strings.HasSuffix(check, "?") && formatValue(v) == "":
		return ""
	case strings.HasPrefix(check, "hostport"):
		return addressViolation(formatValue(v))
	case strings.HasPrefix(check, "file"):
		return fileViolation(formatValue(v))
	case check == "text":
		return textViolation(formatValue(v))
	case strings.Contains(check, "|"):
		return choiceViolation(strings.Split(check, "|"), formatValue(v))
	}
	return ""
}

func rangeViolation(low, high string, v reflect.Value) string {
	n, minimum, maximum, ok := parseRange(v, low, high)
	if !ok {
		return "the declared range " + low + ".." + high + " cannot be parsed"
	}
	if n < minimum || n > maximum {
		return "out of range"
	}
	return ""
}

func parseRange(v reflect.Value, low, high string) (n, minimum, maximum float64, ok bool) {
	if v.Type() == durationType {
		minDuration, errLow := time.ParseDuration(low)
		maxDuration, errHigh := time.ParseDuration(high)
		return float64(v.Int()), float64(minDuration), float64(maxDuration), errLow == nil && errHigh == nil
	}
	minimum, errLow := strconv.ParseFloat(low, 64)
	maximum, errHigh := strconv.ParseFloat(high, 64)
	if errLow != nil || errHigh != nil {
		return 0, 0, 0, false
	}
	switch {
	case v.CanInt():
		return float64(v.Int()), minimum, maximum, true
	case v.CanUint():
		return float64(v.Uint()), minimum, maximum, true
	case v.CanFloat():
		return v.Float(), minimum, maximum, true
	}
	return 0, 0, 0, false
}

func addressViolation(s string) string {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return "not an IP address with a port"
	}
	return ""
}

func fileViolation(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return "cannot be read"
	}
	_ = f.Close()
	return ""
}

func textViolation(s string) string {
	if strings.TrimSpace(s) == "" {
		return "is empty"
	}
	return ""
}

func choiceViolation(allowed []string, s string) string {
	for _, a := range allowed {
		if a == s {
			return ""
		}
	}
	return "not one of the allowed values"
}

func formatValue(v reflect.Value) string {
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

func describeAllowed(check string, kind reflect.Kind) string {
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
