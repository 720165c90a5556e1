// Package limits_test runs real processes and counts, from the engines' own
// records, how many requests of one account are in progress concurrently.
package limits_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/standin/engine"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "account limits over real processes")
}

const (
	parkKey   = "limits-test-park"
	clinicKey = "limits-test-clinic"
	// The engines' records hold no accounts. The two accounts use prompts of
	// different lengths, by which their requests are told apart.
	parkPrompt   = "fault [tokens=40] " + "dish dish dish dish dish dish dish dish dish dish dish dish dish dish dish dish"
	clinicPrompt = "gate [tokens=40]"

	maxRunning       = 3
	parkRequestCount = 30
)

var tableText = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n" +
	fmt.Sprintf("account,park,1,%d,,,%s,,,,,,\n", maxRunning, fleet.KeyDigest(parkKey)) +
	"account,clinic,1,,,," + fleet.KeyDigest(clinicKey) + ",,,,,,\n" +
	"service,reports,,,,,,,generation,whole,2000,60000,200\n"

// startDeployment starts three hosts and four engines in two data centres.
func startDeployment() *fleet.Fleet {
	binDir := GinkgoT().TempDir()
	Expect(fleet.BuildPrograms(binDir)).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	deployment, err := fleet.Start(ctx, fleet.Spec{
		BinDir: binDir, Table: tableText, Hosts: []string{"a", "a", "b"}, Engines: []string{"a", "a", "b", "b"},
		EngineServices: []string{"reports"},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(deployment.Close)
	return deployment
}

// completeWithRetries repeats a request until it is served, after the retry
// delay of each refusal, and returns the number of refusals.
func completeWithRetries(host *fleet.Host, key, prompt string) (refused int) {
	defer GinkgoRecover()
	for {
		body := fmt.Sprintf(`{"model":"reports","prompt":%q}`, prompt)
		req, err := http.NewRequest(http.MethodPost, "http://"+host.ClientAddress+"/v1/completions", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		responseBody, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return refused
		}
		var p failure.Problem
		Expect(json.Unmarshal(responseBody, &p)).To(Succeed())
		Expect(p.Executed).To(Equal(failure.ExecutedNo), string(responseBody))
		Expect(p.RetryAfterMS).To(BeNumerically(">", 0), string(responseBody))
		refused++
		time.Sleep(time.Duration(p.RetryAfterMS) * time.Millisecond)
	}
}

// requestsInProgress returns the generations with the given prompt length that
// run on the engines.
func requestsInProgress(deployment *fleet.Fleet, promptTokens int) map[string]bool {
	ids := map[string]bool{}
	for _, e := range deployment.Engines {
		var records []engine.Record
		Expect(deployment.GetJSON("http://"+e.Address+"/admin/records", &records)).To(Succeed())
		for _, r := range records {
			if r.PromptTokens == promptTokens && r.State == engine.StateRunning {
				ids[fmt.Sprint(r.Incarnation, r.Generation)] = true
			}
		}
	}
	return ids
}

// concurrentRequests counts the generations that are in progress in two
// successive readings. All of them ran concurrently between the end of the
// first reading and the start of the second.
func concurrentRequests(deployment *fleet.Fleet, promptTokens int) int {
	first, second, inBoth := requestsInProgress(deployment, promptTokens), requestsInProgress(deployment, promptTokens), 0
	for id := range first {
		if second[id] {
			inBoth++
		}
	}
	return inBoth
}

// unknownPromptTokens returns the first prompt length in the engines' records
// that differs from known, in tokens, or 0.
func unknownPromptTokens(deployment *fleet.Fleet, known int) int {
	for _, e := range deployment.Engines {
		var records []engine.Record
		Expect(deployment.GetJSON("http://"+e.Address+"/admin/records", &records)).To(Succeed())
		for _, r := range records {
			if r.PromptTokens != known {
				return r.PromptTokens
			}
		}
	}
	return 0
}

var _ = Describe("an account's limit of requests in progress", func() {
	// One account sends 30 requests at once through all entries, which reach the
	// pools of both data centres. If each pool applied the limit of three by
	// itself, the account would get twice its limit at the expense of others.
	It("holds across entries, pools and data centres, and does not limit other accounts", func() {
		deployment := startDeployment()
		completeWithRetries(deployment.Hosts[0], clinicKey, clinicPrompt)
		clinicTokens := unknownPromptTokens(deployment, 0)
		completeWithRetries(deployment.Hosts[0], parkKey, parkPrompt)
		parkTokens := unknownPromptTokens(deployment, clinicTokens)
		Expect(parkTokens).To(BeNumerically(">", clinicTokens))

		var parkRequests sync.WaitGroup
		done := make(chan struct{})
		for i := range parkRequestCount {
			parkRequests.Go(func() { completeWithRetries(deployment.Hosts[i%len(deployment.Hosts)], parkKey, parkPrompt) })
		}
		go func() { parkRequests.Wait(); close(done) }()
		var clinicRequests sync.WaitGroup
		clinicRequests.Go(func() {
			for i := range 10 {
				completeWithRetries(deployment.Hosts[i%len(deployment.Hosts)], clinicKey, clinicPrompt)
			}
		})
		maxConcurrent := 0
		for running := true; running; {
			select {
			case <-done:
				running = false
			default:
				maxConcurrent = max(maxConcurrent, concurrentRequests(deployment, parkTokens))
			}
		}
		clinicRequests.Wait()
		AddReportEntry("maximum concurrent requests of the limited account, limit 3", maxConcurrent)
		Expect(maxConcurrent).To(BeNumerically("<=", maxRunning))
		Expect(maxConcurrent).To(BeNumerically(">=", 2), "the limit is used")
	})
})
