package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

// streamOn requests a stream on a client's kept connection. begun is called once its first
// event has arrived.
func (h *host) streamOn(client *http.Client, id string, begun func()) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.clientAddress+"/s/x", strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "30000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, 1)
	n, err := io.ReadFull(resp.Body, first)
	begun()
	if err != nil {
		return resp.StatusCode, string(first[:n]), err
	}
	rest, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(first) + string(rest), err
}

var _ = Describe("a gateway process that serves streams on kept connections", func() {
	// Guards against streams that end with a change of the published state or of the settings.
	It("ends none when everything that it was admitted with is taken away", func() {
		const streams = 8
		store := standin.New()
		DeferCleanup(store.Close)
		target := httptest.NewServer(http.HandlerFunc(serveSlowly))
		DeferCleanup(func() { target.CloseClientConnections(); target.Close() })
		store.PutPlainConfig(1, "app", "key-1")
		store.PutServer("i-1", "app", hostPort(target), "ready")
		h := startHost(serveStore(store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		before := store.TakeCopy()

		var begun, ended sync.WaitGroup
		begun.Add(streams)
		outcomes := make([]string, streams)
		clients := make([]*http.Client, streams)
		for i := range streams {
			clients[i] = &http.Client{Transport: &http.Transport{}}
			DeferCleanup(clients[i].CloseIdleConnections)
			ended.Add(1)
			go func() {
				defer ended.Done()
				var once sync.Once
				begin := func() { once.Do(begun.Done) }
				defer begin()
				status, body, err := h.streamOn(clients[i], fmt.Sprint("r-", i), begin)
				outcomes[i] = fmt.Sprint(status, " ", strings.Count(body, "data: x\n\n"), " ", err)
			}()
		}
		begun.Wait()
		hangUp := func() { Expect(h.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed()) }
		steps := []func(){
			hangUp,
			func() { store.PutPlainConfig(2, "app", "key-2") },
			func() { store.PutServer("i-1", "app", hostPort(target), "draining") },
			func() { store.PutConfig(3, "other", "key-2") },
			func() { store.RemoveServer("i-1") },
			hangUp,
			func() { store.DrainZone("z-a") },
			func() { store.Restore(before) },
			func() { store.SetMode(standin.Unresponsive) },
			hangUp,
			func() { store.SetMode(standin.Serving) },
			func() { store.PutPlainConfig(4, "app", "key-2") },
		}
		for _, step := range steps {
			step()
			time.Sleep(feedTime / 2 / time.Duration(len(steps)))
		}
		ended.Wait()
		for _, outcome := range outcomes {
			Expect(outcome).To(Equal(fmt.Sprint(http.StatusOK, " ", feedEvents, " <nil>")))
		}
		for i, client := range clients {
			// The requests go over the kept connections, whose key is no longer valid.
			Eventually(func() (int, error) {
				status, _, err := h.streamOn(client, fmt.Sprint("r-later-", i), func() {})
				return status, err
			}, stepTimeout).Should(Equal(http.StatusUnauthorized))
		}
		Expect(h.logText()).To(ContainSubstring("settings reloaded"))
		Expect(h.logText()).NotTo(ContainSubstring("generation broke"))
	})
})
