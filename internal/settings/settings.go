// Package settings reads a process's settings from flags and environment
// variables, checks every value at the start, and describes them for the
// configuration reference.
//
// A settings type is a struct whose fields carry go-arg's tags and, besides,
// a check tag: "hostport", "hostport?" (may be empty), "text", "file?",
// "file", "min..max" for numbers and durations, or "a|b|c" for a choice.
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

// ExitUsage is the exit code of a process whose settings are wrong.
const ExitUsage = 2

// Field is one setting as its declaration tells it.
type Field struct {
	Flag, Variable, Default, Allowed, Help string
	Secret                                 bool
}

// Fault is one setting that cannot be used.
type Fault struct {
	Field
	Value  string
	Reason string
}

// String names flag, variable, value and what is allowed. The value of a
// secret is left out.
func (f Fault) String() string {
	value := f.Value
	if f.Secret {
		value = "(secret)"
	}
	return fmt.Sprintf("%s (%s) is %q: %s; allowed: %s", f.Flag, f.Variable, value, f.Reason, f.Allowed)
}

var errHelp = failure.New(failure.KindSettingInvalid, "help or version was printed")

// IsHelp tells whether Parse printed the help or the version that was asked
// for, which is no failure.
func IsHelp(err error) bool { return err == error(errHelp) }

// Parse fills dest, a pointer to a settings struct, from args and the
// environment, and checks every value.
func Parse(program, about string, dest any, args []string, out io.Writer) error {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: out}, dest)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "settings of %s are declared wrongly", program)
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
		return failure.New(failure.KindSettingInvalid, "%s", parseFault(dest, args, err))
	}
	return report(Check(dest))
}

func report(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return failure.New(failure.KindSettingInvalid, "%s", strings.Join(lines, "; "))
}

// parseFault names the setting that go-arg could not read.
func parseFault(dest any, args []string, err error) string {
	text := err.Error()
	for _, b := range bindings(dest) {
		named := strings.Contains(text, b.Flag+":") || strings.Contains(text, b.Flag+" ") ||
			strings.HasSuffix(text, b.Flag) || (b.Variable != "" && strings.Contains(text, b.Variable))
		if named {
			return Fault{Field: b.Field, Value: given(b.Field, args), Reason: text}.String()
		}
	}
	return text
}

// given finds the text that was set for a field, on the command line first.
func given(f Field, args []string) string {
	for i, a := range args {
		if a == f.Flag && i+1 < len(args) {
			return args[i+1]
		}
		if value, found := strings.CutPrefix(a, f.Flag+"="); found {
			return value
		}
	}
	return os.Getenv(f.Variable)
}

type binding struct {
	Field
	check string
	value reflect.Value
}

// Fields lists the declarations of a settings struct.
func Fields(dest any) []Field {
	bound := bindings(dest)
	fields := make([]Field, len(bound))
	for i, b := range bound {
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
		out = append(out, bind(f, tag, v.Field(i)))
	}
	return out
}

func bind(f reflect.StructField, tag string, v reflect.Value) binding {
	b := binding{check: f.Tag.Get("check"), value: v}
	b.Default, b.Help = f.Tag.Get("default"), f.Tag.Get("help")
	b.Secret = f.Tag.Get("secret") == "true"
	for _, part := range strings.Split(tag, ",") {
		if strings.HasPrefix(part, "--") {
			b.Flag = part
		}
		if name, found := strings.CutPrefix(part, "env:"); found {
			b.Variable = name
		}
	}
	b.Allowed = describe(b.check, v.Kind())
	return b
}
