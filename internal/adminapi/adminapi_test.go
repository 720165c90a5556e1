package adminapi_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/adminapi"
	"filbertdeck/internal/configservice"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

func TestAdminAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "adminapi")
}

// fixed is a snapshot that a test sets.
type fixed[T any] struct{ value *T }

func (f fixed[T]) Get() *T { return f.value }

type figures struct{}

func (figures) TargetStatus(_, address string) (adminapi.TargetStatus, bool) {
	return adminapi.TargetStatus{Running: 3}, address == "10.1.0.1:1"
}

func (figures) AccountStatus(string) (int, int, uint64) { return 2, 1, 900 }

func (figures) Accounting() adminapi.AccountingDocument {
	return adminapi.AccountingDocument{Rows: []adminapi.AccountingRow{
		{Account: "clinic", Service: "reports", Received: 5, Ran: 3, Refused: 1, InProgress: 1},
		{Account: "radio", Service: "reports", Received: 5, Ran: 3},
	}}
}

const digest = "ab"

func config() adminapi.Config {
	key := strings.Repeat(digest, 32)
	t, faults := table.Parse(7, [][]byte{[]byte("kind,name,weight,key_sha256\nservice,reports,,\naccount,clinic,2," + key + "\n")})
	Expect(faults).To(BeEmpty())
	t = t.WithDrainAndTargets([]string{"south"}, nil)
	return adminapi.Config{
		Self:   "10.0.0.1:81",
		Tokens: []adminapi.Token{token("operator:", "op"), token("monitor:", "mon")},
		Table:  fixed[table.Table]{t},
		Hosts: fixed[configwatch.Hosts]{&configwatch.Hosts{ConfirmedAt: time.Now(), List: []configservice.Host{
			{Name: "h1", DataCentre: "north", Entry: "10.0.0.1:80", Control: "10.0.0.1:81", State: configservice.StateLive},
			{Name: "h2", DataCentre: "north", Entry: "10.0.0.2:80", Control: "10.0.0.2:81", State: configservice.StateLeaving}}}},
		Targets: fixed[configwatch.Targets]{&configwatch.Targets{ByService: map[string][]configservice.Target{"reports": {
			{Service: "reports", Address: "10.1.0.1:1", DataCentre: "south", State: configservice.StateLive},
			{Service: "reports", Address: "10.1.0.2:1", DataCentre: "north", State: configservice.StateLeaving}}}}},
		Members: fixed[membership.View]{&membership.View{Members: []membership.Member{
			{Address: "10.0.0.1:81", Incarnation: 4}, {Address: "10.0.0.3:81", Incarnation: 9, State: membership.Dead}}}},
		Rollout: fixed[configwatch.State]{&configwatch.State{Ready: true, Documents: []configwatch.DocumentState{{
			Section: configwatch.SectionTable, Head: rollout.Head{Version: rollout.Version{Revision: 7}}, InForceSince: time.Now(),
			LatestRefusal: rollout.Refusal{Version: rollout.Version{Revision: 8}, Reason: "row 3 column weight"}}}}},
		TargetSource: figures{}, AccountSource: figures{}, AccountingSource: figures{},
	}
}

func token(role, secret string) adminapi.Token {
	sum := sha256.Sum256([]byte(secret))
	t, err := adminapi.ParseToken(role + hex.EncodeToString(sum[:]))
	Expect(err).NotTo(HaveOccurred())
	return t
}

func get(cfg adminapi.Config, method, path, secret string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, nil)
	if secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	rec := httptest.NewRecorder()
	adminapi.New(cfg).ServeHTTP(rec, req)
	return rec
}

var _ = Describe("the administration API", func() {
	DescribeTable("answers to a token", func(path string, contains ...string) {
		rec := get(config(), http.MethodGet, "/admin/v1/"+path, "mon")
		Expect(rec.Code).To(Equal(http.StatusOK), rec.Body.String())
		for _, c := range contains {
			Expect(rec.Body.String()).To(ContainSubstring(c))
		}
	},
		Entry("hosts: list and members side by side", "hosts", `"published":"leaving","member":"unknown"`, `"published":"absent","member":"dead","incarnation":9`, `"confirmed_age_ms":`),
		Entry("targets", "targets", `"drained":true,"known":true,"running":3`, `"published":"leaving","drained":false,"known":false`),
		Entry("accounts", "accounts", `"name":"clinic","weight":2`, `"keys":1`, `"running":2,"waiting":1,"tokens":900`),
		Entry("rollout", "rollout", `"version":"0.7"`, `"refused":"0.8","refused_reason":"row 3 column weight"`),
		Entry("table", "table", "account,clinic,2"),
		Entry("accounting names rows that don't add up", "accounting", `"unbalanced":[{"account":"radio"`),
	)

	DescribeTable("refuses", func(method, path, secret string, kind failure.Kind) {
		rec := get(config(), method, path, secret)
		Expect(rec.Header().Get("Content-Type")).To(Equal(failure.ProblemType))
		Expect(rec.Body.String()).To(ContainSubstring(string(kind)))
	},
		Entry("no token", "GET", "/admin/v1/hosts", "", failure.KindUnauthorized),
		Entry("unknown token", "GET", "/admin/v1/hosts", "guess", failure.KindUnauthorized),
		Entry("writing", "POST", "/admin/v1/table", "op", failure.KindMethod),
		Entry("unknown path", "GET", "/admin/v1/keys", "op", failure.KindNotFound),
	)

	It("shows digests of keys to operators only", func() {
		Expect(get(config(), "GET", "/admin/v1/table", "op").Body.String()).To(ContainSubstring(digest + digest))
		Expect(get(config(), "GET", "/admin/v1/table", "mon").Body.String()).NotTo(ContainSubstring(digest + digest))
	})

	// A host has just started and knows nothing yet. An empty list would tell
	// the monitor that there are no accounts and nothing to complain about.
	It("says that it does not know yet rather than nothing", func() {
		cfg := config()
		cfg.Table, cfg.Hosts, cfg.Targets = fixed[table.Table]{}, fixed[configwatch.Hosts]{}, fixed[configwatch.Targets]{}
		cfg.Rollout, cfg.AccountingSource = fixed[configwatch.State]{}, nil
		for _, p := range []string{"hosts", "targets", "accounts", "rollout", "table", "accounting"} {
			rec := get(cfg, "GET", "/admin/v1/"+p, "op")
			Expect(rec.Code).To(Equal(http.StatusServiceUnavailable), p)
			Expect(rec.Header().Get("Retry-After")).To(Equal("1"))
		}
	})

	It("refuses settings that are no tokens, without repeating them", func() {
		for _, s := range []string{"", "operator:secret", "admin:" + strings.Repeat("00", 32), "monitor:00"} {
			_, err := adminapi.ParseToken(s)
			Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
			Expect(err.Error()).NotTo(ContainSubstring("secret"))
		}
	})
})

var _ = Describe("the OpenAPI description", func() {
	var spec struct {
		Paths      map[string]map[string]json.RawMessage
		Components struct {
			Schemas map[string]struct {
				Required   []string
				Properties map[string]json.RawMessage
			}
		}
	}
	BeforeEach(func() {
		raw, err := os.ReadFile("../../docs/openapi/admin.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(raw, &spec)).To(Succeed())
	})

	It("names the routes that there are", func() {
		var routes, described []string
		Expect(adminapi.New(config()).Walk(func(r *mux.Route, _ *mux.Router, _ []*mux.Route) error {
			path, err := r.GetPathTemplate()
			routes = append(routes, path)
			return err
		})).To(Succeed())
		for path, methods := range spec.Paths {
			Expect(methods).To(HaveLen(1))
			Expect(methods).To(HaveKey("get"))
			described = append(described, path)
		}
		Expect(described).To(ConsistOf(routes))
	})

	It("names the fields that there are", func() {
		for _, doc := range []any{adminapi.HostsDocument{}, adminapi.HostStatus{}, adminapi.TargetsDocument{}, adminapi.TargetStatus{},
			adminapi.AccountsDocument{}, adminapi.AccountStatus{}, adminapi.RolloutDocument{}, adminapi.DocumentStatus{},
			adminapi.ServiceStatus{}, adminapi.AccountingDocument{}, adminapi.AccountingHost{}, adminapi.AccountingRow{}, failure.Problem{}} {
			typ := reflect.TypeOf(doc)
			schema, ok := spec.Components.Schemas[typ.Name()]
			Expect(ok).To(BeTrue(), typ.Name())
			Expect(schema.Properties).To(HaveLen(typ.NumField()), typ.Name())
			for i := range typ.NumField() {
				name, options, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
				Expect(schema.Properties).To(HaveKey(name), typ.Name())
				Expect(slices.Contains(schema.Required, name)).To(Equal(options != "omitempty"), typ.Name()+"."+name)
			}
		}
	})
})
