package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/standin/engine"
	"filbertdeck/internal/standin/model"
)

var suiteT *testing.T

// inFakeTime runs f with a clock that advances when all goroutines wait. Expectations
// belong after it.
func inFakeTime(f func()) { synctest.Test(suiteT, func(*testing.T) { f() }) }

var _ = Describe("the grace period of a generation without a connection", func() {
	const grace = 10 * time.Second

	// Guards against a generation that is cancelled soon after its second connection was
	// lost: a caller could resume it once only.
	It("begins again each time the connection is lost", func() {
		var within, after engine.State
		inFakeTime(func() {
			server := engine.NewServer(engine.Config{DisconnectGrace: grace, Model: model.Config{BaseStep: time.Second}})
			defer server.Close()
			connect := func(method, path, body string) (disconnect func()) {
				ctx, cancel := context.WithCancel(context.Background())
				req := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
				req.Header.Set(engine.HeaderGeneration, "g1")
				go server.Handler().ServeHTTP(httptest.NewRecorder(), req)
				time.Sleep(time.Second)
				return func() { cancel(); synctest.Wait() }
			}
			state := func() engine.State { return server.Records()[0].State }
			connect(http.MethodPost, "/v1/completions", `{"prompt":"[tokens=15000]","stream":true}`)()
			time.Sleep(grace / 2)
			connect(http.MethodGet, "/v1/generations/g1?offset=0", "")()
			time.Sleep(grace - time.Second)
			within = state()
			time.Sleep(2 * time.Second)
			after = state()
		})
		Expect(within).To(Equal(engine.StateRunning))
		Expect(after).To(Equal(engine.StateCancelled))
	})
})
