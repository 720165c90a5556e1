package configcheck_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/configcheck"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

func TestConfigCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configcheck")
}

const (
	validRoute   = `{"name":"briefs","host":"a.example","prefix":"/brief/","kind":3,"timeout":5000000000,"objective":1500000000,"pause_objective":500000000,"attempts":2,"priority":1,"backends":[{"service":"llm","weight":1}],"resumable":true}`
	plainRoute   = `{"name":"looks","host":"a.example","prefix":"/brief/look/","kind":2,"attempts":1,"backends":[{"service":"app","weight":1}]}`
	validService = `{"name":"llm","engine":{"slots":6,"memory_tokens":10000,"tokens_per_event":1}}`
	plainService = `{"name":"app"}`
	validAccount = `{"name":"clinic","keys":["secret-1"]}`
	valid        = `{"version":7,
"routes":[` + validRoute + `,
` + plainRoute + `],
"services":[` + validService + `,
` + plainService + `],
"accounts":[` + validAccount + `]}`
)

func read(text string) *configcheck.Document {
	GinkgoHelper()
	d, err := configcheck.Read([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return d
}

// edited returns the valid configuration after replacements of pairs of texts.
func edited(pairs ...string) string {
	GinkgoHelper()
	text := valid
	for i := 0; i < len(pairs); i += 2 {
		Expect(text).To(ContainSubstring(pairs[i]))
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

func lines(findings []configcheck.Finding) []string {
	out := []string{}
	for _, f := range findings {
		out = append(out, fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Message))
	}
	return out
}

func texts(differences []configcheck.Difference) []string {
	out := []string{}
	for _, d := range differences {
		out = append(out, d.Text)
	}
	return out
}

var _ = Describe("Check", func() {
	// Guards against warnings that operators learn to ignore: a longer prefix
	// beside a shorter one is the usual way to split a host's paths.
	It("finds nothing in a valid configuration with nested prefixes", func() {
		Expect(lines(configcheck.Check(read(valid)))).To(BeEmpty())
	})

	DescribeTable("reports exactly the fault of an edit", func(finding string, pairs ...string) {
		Expect(lines(configcheck.Check(read(edited(pairs...))))).To(Equal([]string{finding}))
	},
		Entry(nil, "error: version: the version is missing; allowed: a whole number above 0", `"version":7`, `"version":0`),
		Entry(nil, "error: routes[1].attemps: no such field; field names are case-sensitive", `"attempts":1`, `"attempts":1,"attemps":3`),
		Entry(nil, "error: Limits: no such field; field names are case-sensitive", `"version":7`, `"version":7,"Limits":{}`),
		Entry(nil, `error: routes[1]["a\nb"]: no such field; field names are case-sensitive`, `"attempts":1`, `"attempts":1,"a\nb":3`),
		Entry(nil, "error: routes[1].kind: the field is given more than once", `"kind":2`, `"kind":2,"kind":2`),
		Entry(nil, "error: routes[1].name: the name is missing", `"name":"looks",`, ``),
		Entry(nil, "error: routes[1].host: the host is missing", `"looks","host":"a.example"`, `"looks"`),
		Entry(nil, "error: routes[1].prefix: the prefix does not begin with /, so that no request matches", `"/brief/look/"`, `"brief/look/"`),
		Entry(nil, "error: routes[1].prefix: routes[0] has the same host and prefix, so that this route never matches", `"/brief/look/"`, `"/brief/"`),
		Entry(nil, `warning: routes[1].name: routes[0] is also named "briefs"`, `"looks"`, `"briefs"`),
		Entry(nil, "error: routes[1].kind: the kind is missing or unknown; allowed: 1 (once), 2 (repeatable), 3 (generation)", `"kind":2`, `"kind":4`),
		Entry(nil, "error: routes[0].timeout: the value must be at least 0", `"timeout":5000000000`, `"timeout":-1`),
		Entry(nil, "error: routes[0].objective: the objective of 1.5 s is above the timeout of 1 s", `"timeout":5000000000`, `"timeout":1000000000`),
		Entry(nil, "error: routes[0].pause_objective: the objective for pauses of 5.5 s is above the timeout of 5 s", `"pause_objective":500000000`, `"pause_objective":5500000000`),
		Entry(nil, "warning: routes[1].pause_objective: the objective for pauses has no effect, because the route is not for generations", `"kind":2`, `"kind":2,"pause_objective":1`),
		Entry(nil, "error: routes[1].attempts: a request needs at least 1 attempt", `"attempts":1,`, ``),
		Entry(nil, "error: routes[0].priority: the value must be at least 0", `"priority":1`, `"priority":-1`),
		Entry(nil, "warning: routes[1].resumable: the route is resumable but not for generations", `"kind":2`, `"kind":2,"resumable":true`),
		Entry(nil, "warning: routes[0].resumable: the route is resumable, but its single attempt leaves none to resume with", `"attempts":2`, `"attempts":1`),
		Entry(nil, "error: routes[1].backends[1].service: there is no service \"ap\"", `{"service":"app","weight":1}`, `{"service":"app","weight":1},{"service":"ap","weight":1}`),
		Entry(nil, "error: routes[1].backends[1].service: the service is missing", `{"service":"app","weight":1}`, `{"service":"app","weight":1},{"weight":1}`),
		Entry(nil, `warning: routes[1].backends[1].service: routes[1].backends[0] also names service "app"`, `{"service":"app","weight":1}`, `{"service":"app","weight":1},{"service":"app","weight":1}`),
		Entry(nil, "error: routes[1].backends: all weights are 0", `{"service":"app","weight":1}`, `{"service":"app","weight":0}`),
		Entry(nil, "error: routes[1].backends[0].weight: the value must be at least 0", `{"service":"app","weight":1}`, `{"service":"app","weight":-1}`),
		Entry(nil, `error: routes[0].backends[1].service: the route is for generations, but service "app" has no engine`, `{"service":"llm","weight":1}`, `{"service":"llm","weight":1},{"service":"app","weight":1}`),
		Entry(nil, `error: routes[1].backends[1].service: the route is not for generations, but service "llm" has an engine`, `{"service":"app","weight":1}`, `{"service":"app","weight":1},{"service":"llm","weight":1}`),
		Entry(nil, `warning: services[2]: no route uses service "old"`, plainService, plainService+`,{"name":"old"}`),
		Entry(nil, `error: services[2].name: services[1] is also named "app"`, plainService, plainService+`,`+plainService),
		Entry(nil, "error: services[1].cold_rate: the value must be at least 0", plainService, `{"name":"app","cold_rate":-1}`),
		Entry(nil, "error: services[0].engine.memory_tokens: the memory must be at least 1 token; with 0, generations are placed without regard to it", `10000`, `0`),
		Entry(nil, "error: services[0].engine.tokens_per_event: the value must be at least 1", `"tokens_per_event":1`, `"tokens_per_event":0`),
		Entry(nil, `warning: accounts[0].keys: account "clinic" has no key, so that no request can be its`, `["secret-1"]`, `[]`),
		Entry(nil, `error: accounts[1].name: accounts[0] is also named "clinic"`, validAccount, validAccount+`,{"name":"clinic","keys":["secret-2"]}`),
		Entry(nil, `error: accounts[1].keys[0]: the key is the same as accounts[0].keys[0] of account "clinic"`, validAccount, validAccount+`,{"name":"lab","keys":["secret-1"]}`),
		Entry(nil, "warning: accounts[0].keys[1]: the key is the same as accounts[0].keys[0]", `["secret-1"]`, `["secret-1","secret-1"]`),
		Entry(nil, "error: accounts[0].keys[1]: the key is empty", `["secret-1"]`, `["secret-1",""]`),
		Entry(nil, "error: accounts[0].priority: the value must be at least 0", `"clinic"`, `"clinic","priority":-1`),
		Entry(nil, "warning: accounts: the list is empty, so that routes that are not public refuse every request; null means that no request needs a key", `[`+validAccount+`]`, `[]`),
		Entry(nil, "error: limits.idle_timeout: the value must be at least 0", `"version":7`, `"version":7,"limits":{"idle_timeout":-1}`),
	)

	// Guards against findings without a usable position: a missing field has none
	// of its own and gets that of the closest enclosing value.
	It("gives the line and the column of the value, in the order of the document", func() {
		findings := configcheck.Check(read(edited(`"attempts":1,`, ``, `"version":7`, `"version":0`, `10000`, `0`)))
		positions := []string{}
		for _, f := range findings {
			positions = append(positions, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Place))
		}
		Expect(positions).To(Equal([]string{"1:12 version", "3:1 routes[1].attempts", "4:63 services[0].engine.memory_tokens"}))
	})

	It("finds a configuration without routes and a route without backends", func() {
		Expect(lines(configcheck.Check(read(`{"version":1}`)))).To(Equal([]string{"warning: routes: there is no route, so that every request is refused"}))
		Expect(lines(configcheck.Check(read(`{"version":1,"routes":[null]}`)))).To(ContainElement("error: routes[0].backends: the route has no backend"))
	})

	It("compares the version with that of the version before", func() {
		old := read(valid)
		Expect(configcheck.CheckSuccessor(old, read(valid))).To(BeEmpty())
		Expect(lines(configcheck.CheckSuccessor(old, read(edited(`"version":7`, `"version":6`))))).To(Equal([]string{"error: version: the version is below that of the other configuration, 7, so that hosts ignore it"}))
		Expect(lines(configcheck.CheckSuccessor(old, read(edited(`"attempts":1`, `"attempts":2`))))).To(Equal([]string{"warning: version: the version is the same as that of the other configuration, which differs"}))
	})
})

var _ = Describe("Read", func() {
	DescribeTable("names line and column of what can't be decoded, without values", func(text, message string) {
		_, err := configcheck.Read([]byte(text))
		Expect(failure.KindOf(err)).To(Equal(failure.KindBadRequest))
		Expect(err.Error()).To(Equal("bad-request: " + message))
	},
		Entry("empty", "", "line 1, column 1: unexpected end of JSON input"),
		Entry("syntax", "{\n  \"version\": 1,\n}", "line 3, column 1: invalid character '}' looking for beginning of object key string"),
		Entry("truncated", "{\n  \"version\": 1", "line 2, column 14: unexpected end of JSON input"),
		Entry("second document", "{}\n{}", "line 2, column 1: invalid character '{' after top-level value"),
		Entry("duration as text", "{\"routes\": [\n  {\"timeout\": \"5s\"}]}", "line 2, column 15: routes[0].timeout must be a whole number of nanoseconds"),
		Entry("fraction", `{"routes":[{"attempts":1.5}]}`, "line 1, column 24: routes[0].attempts must be a whole number"),
		Entry("negative version", `{"version":-1}`, "line 1, column 12: version must be a whole number of at least 0"),
		Entry("number out of range", `{"services":[{"cold_rate":1e999}]}`, "line 1, column 27: services[0].cold_rate must be a number"),
		Entry("list for an object", `{"limits":[]}`, "line 1, column 11: limits must be an object"),
		Entry("object for a list", `{"accounts":[{"keys":{"secret-1":1}}]}`, "line 1, column 22: accounts[0].keys must be a list"),
		Entry("key as a number", `{"accounts":[{"keys":[12345]}]}`, "line 1, column 23: accounts[0].keys[0] must be a string"),
		Entry("object for an optional number", `{"accounts":[{"priority":{}}]}`, "line 1, column 26: accounts[0].priority must be a whole number"),
		Entry("list at the top", `[]`, "line 1, column 1: the document must be an object"),
		Entry("null at the top", `null`, "line 1, column 1: the document must be an object"),
	)
})

var _ = Describe("Diff", func() {
	DescribeTable("tells the difference in an operator's words", func(text string, pairs ...string) {
		Expect(texts(configcheck.Diff(read(valid).Config, read(edited(pairs...)).Config))).To(Equal([]string{text}))
	},
		Entry(nil, "version from 7 to 8", `"version":7`, `"version":8`),
		Entry(nil, "objective of route briefs from 1.5 s to 2 s", `"objective":1500000000`, `"objective":2000000000`),
		Entry(nil, "objective for pauses of route briefs from 500 ms to 0 s", `"pause_objective":500000000`, `"pause_objective":0`),
		Entry(nil, "kind of route looks from repeatable to once", `"kind":2`, `"kind":1`),
		Entry(nil, "public of route looks from no to yes", `"kind":2`, `"kind":2,"public":true`),
		Entry(nil, "route new added", plainRoute, plainRoute+`,{"name":"new"}`),
		Entry(nil, `route "a\nb" added`, plainRoute, plainRoute+`,{"name":"a\nb"}`),
		Entry(nil, "route looks (2) added", plainRoute, plainRoute+`,`+plainRoute),
		Entry(nil, "route looks removed", ",\n"+plainRoute, ``),
		Entry(nil, "weight of service app in route looks from 1 to 3", `"app","weight":1`, `"app","weight":3`),
		Entry(nil, "service llm added to route looks with weight 2", `{"service":"app","weight":1}`, `{"service":"app","weight":1},{"service":"llm","weight":2}`),
		Entry(nil, "service app removed from route looks", `{"service":"app","weight":1}`, ``),
		Entry(nil, "engine removed from service llm", validService, `{"name":"llm"}`),
		Entry(nil, "engine added to service app", plainService, `{"name":"app","engine":{}}`),
		Entry(nil, "memory in tokens of the engine of service llm from 10000 to 20000", `10000`, `20000`),
		Entry(nil, "1 key added to account clinic", `["secret-1"]`, `["secret-1","secret-2"]`),
		Entry(nil, "1 key removed from account clinic", `["secret-1"]`, `[]`),
		Entry(nil, "priority of account clinic from that of the route to 0", `"clinic"`, `"clinic","priority":0`),
		Entry(nil, "body size in bytes of limits from 0 to 5", `"version":7`, `"version":7,"limits":{"body_bytes":5}`),
	)

	It("tells an empty list of accounts from none", func() {
		none, empty := read(`{"version":1}`).Config, read(`{"version":1,"accounts":[]}`).Config
		Expect(texts(configcheck.Diff(none, empty))).To(Equal([]string{"keys needed on routes that are not public from no to yes"}))
	})

	It("finds no difference in another order", func() {
		Expect(configcheck.Diff(read(valid).Config, read(edited("["+validRoute+",\n"+plainRoute+"]", "["+plainRoute+","+validRoute+"]")).Config)).To(BeEmpty())
	})

	// Guards against a field that is added to the model and missed by the
	// comparison, which would call two different versions equal.
	It("sees a change of every field of the model", func() {
		fields := 0
		changeEachField(reflect.TypeFor[directory.Config](), nil, func(path []int) {
			fields++
			next := read(valid).Config
			change(fieldAt(reflect.ValueOf(next).Elem(), path))
			Expect(configcheck.Diff(read(valid).Config, next)).NotTo(BeEmpty(), fmt.Sprint(path))
		})
		Expect(fields).To(BeNumerically(">", 30))
	})

	// Keys are secret; outputs of the command end up in tickets and logs.
	It("prints no key, neither in findings nor in differences", func() {
		next := read(edited(validAccount, `{"name":"clinic","keys":["secret-2","secret-2",""]},{"name":"lab","keys":["secret-2"]}`))
		out, err := json.Marshal([]any{configcheck.Check(next), configcheck.Diff(read(valid).Config, next.Config), configcheck.Diff(next.Config, read(valid).Config)})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(ContainSubstring("2 keys added to account clinic"))
		Expect(string(out)).NotTo(ContainSubstring("secret"))
	})
})

// changeEachField calls visit with the path of each scalar field of a type. A list
// is entered by its first element.
func changeEachField(t reflect.Type, path []int, visit func(path []int)) {
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			changeEachField(t.Field(i).Type, append(path[:len(path):len(path)], i), visit)
		}
	case reflect.Slice, reflect.Pointer:
		changeEachField(t.Elem(), path, visit)
	default:
		visit(path)
	}
}

// fieldAt returns the field at a path of struct fields.
func fieldAt(v reflect.Value, path []int) reflect.Value {
	for v.Kind() == reflect.Slice || v.Kind() == reflect.Pointer {
		if v.Kind() == reflect.Slice {
			v = v.Index(0)
			continue
		}
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		v = v.Elem()
	}
	if len(path) == 0 {
		return v
	}
	return fieldAt(v.Field(path[0]), path[1:])
}

func change(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Uint64:
		v.SetUint(v.Uint() + 1)
	default:
		v.SetInt(v.Int() + 1)
	}
}
