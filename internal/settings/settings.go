// Package settings parses a process's settings from flags and environment
// variables, validates every value at startup, and lists the settings for the
// configuration reference.
//
// A settings type is a struct whose fields have go-arg tags and a check tag:
// "hostport" (an IP address with a port), "text" (not empty), "file" (a
// readable file), "min..max" for numbers and durations, or "a|b|c" for one of
// several values. "hostport?" and "file?" also accept an empty value.
package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/version"
)

// ExitUsage is the exit code of a process whose settings are invalid.
const ExitUsage = 2

// Field describes one setting, as its struct tags declare it.
type Field struct {
	Flag, EnvVar, Default, Allowed, Help string
	Secret                               bool
}

// InvalidValue is one setting whose value was rejected, with the reason.
type InvalidValue struct {
	Field
	Value  string
	Reason string
}

// String gives the flag, the environment variable, the value and the allowed
// values. It omits the value of a secret.
func (v InvalidValue) String() string {
	value := v.Value
	if v.Secret {
		value = "(secret)"
	}
	return fmt.Sprintf("%s (%s) is %q: %s; allowed: %s", v.Flag, v.EnvVar, value, v.Reason, v.Allowed)
}

var errHelp = failure.New(failure.KindSettingInvalid, "help or version was printed")

// IsHelp reports whether Parse only printed the requested help or version,
// which is not a failure.
func IsHelp(err error) bool { return err == error(errHelp) }

// Parse fills dest, a pointer to a settings struct, from args and the
// environment, and validates every value.
func Parse(program, about string, dest any, args []string, out io.Writer) error {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: out}, dest)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "invalid settings declaration of %s", program)
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		fmt.Fprintln(out, about)
		fmt.Fprintln(out)
		parser.WriteHelp(out)
		return errHelp
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, program, version.String())
		return errHelp
	case err != nil:
		return failure.New(failure.KindSettingInvalid, "%s", describeParseError(dest, args, err))
	}
	return invalidSettingsError(Check(dest))
}

func invalidSettingsError(invalid []InvalidValue) error {
	if len(invalid) == 0 {
		return nil
	}
	lines := make([]string, len(invalid))
	for i, v := range invalid {
		lines[i] = v.String()
	}
	return failure.New(failure.KindSettingInvalid, "%s", strings.Join(lines, "; "))
}

// describeParseError describes the setting that go-arg could not parse. go-arg
// names it in the error's text only.
func describeParseError(dest any, args []string, err error) string {
	text := err.Error()
	for _, b := range bindings(dest) {
		mentioned := strings.Contains(text, b.Flag+":") || strings.Contains(text, b.Flag+" ") ||
			strings.HasSuffix(text, b.Flag) || (b.EnvVar != "" && strings.Contains(text, b.EnvVar))
		if mentioned {
			return InvalidValue{Field: b.Field, Value: rawValue(b.Field, args), Reason: text}.String()
		}
	}
	return text
}

// rawValue returns the unparsed value of a field. The command line takes
// precedence over the environment.
func rawValue(f Field, args []string) string {
	for i, a := range args {
		if a == f.Flag && i+1 < len(args) {
			return args[i+1]
		}
		if value, found := strings.CutPrefix(a, f.Flag+"="); found {
			return value
		}
	}
	return os.Getenv(f.EnvVar)
}

type binding struct {
	Field
	check string
	value reflect.Value
}

// Fields lists the settings that a struct declares.
func Fields(dest any) []Field {
	fieldBindings := bindings(dest)
	fields := make([]Field, len(fieldBindings))
	for i, b := range fieldBindings {
		fields[i] = b.Field
	}
	return fields
}

func bindings(dest any) []binding {
	var out []binding
	v := reflect.Indirect(reflect.ValueOf(dest))
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			out = append(out, bindings(v.Field(i).Addr().Interface())...)
			continue
		}
		tag, tagged := f.Tag.Lookup("arg")
		if !tagged {
			continue
		}
		out = append(out, newBinding(f, tag, v.Field(i)))
	}
	return out
}

func newBinding(f reflect.StructField, tag string, v reflect.Value) binding {
	b := binding{check: f.Tag.Get("check"), value: v}
	b.Default, b.Help = f.Tag.Get("default"), f.Tag.Get("help")
	b.Secret = f.Tag.Get("secret") == "true"
	for _, part := range strings.Split(tag, ",") {
		if strings.HasPrefix(part, "--") {
			b.Flag = part
		}
		if name, found := strings.CutPrefix(part, "env:"); found {
			b.EnvVar = name
		}
	}
	b.Allowed = describeAllowed(b.check, v.Kind())
	return b
}
