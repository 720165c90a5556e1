// Package limits_test runs real processes and counts, from the engines' own
// records, how many requests of one account are in progress at once.
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
	// The engines' records don't name accounts; the length of the prompt does.
	parkPrompt   = "fault [tokens=40] " + "dish dish dish dish dish dish dish dish dish dish dish dish dish dish dish dish"
	clinicPrompt = "gate [tokens=40]"

	maxRunning = 3
	requests   = 30
)

var tableText = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n" +
	fmt.Sprintf("account,park,1,%d,,,%s,,,,,,\n", maxRunning, fleet.KeyDigest(parkKey)) +
	"account,clinic,1,,,," + fleet.KeyDigest(clinicKey) + ",,,,,,\n" +
	"service,reports,,,,,,,generation,whole,2000,60000,200\n"

// start starts three hosts and four engines in two data centres.
func start() *fleet.Fleet {
	bin := GinkgoT().TempDir()
	Expect(fleet.BuildPrograms(bin)).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	deck, err := fleet.Start(ctx, fleet.Spec{
		BinDir: bin, Table: tableText, Hosts: []string{"a", "a", "b"}, Engines: []string{"a", "a", "b", "b"},
		EngineServices: []string{"reports"},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(deck.Close)
	return deck
}

// complete sends one request until it is served: a refusal says when to come
// back.
func complete(host *fleet.Host, key, prompt string) (refused int) {
	defer GinkgoRecover()
	for {
		body := fmt.Sprintf(`{"model":"reports","prompt":%q}`, prompt)
		req, err := http.NewRequest(http.MethodPost, "http://"+host.ClientAddress+"/v1/completions", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return refused
		}
		var p failure.Problem
		Expect(json.Unmarshal(text, &p)).To(Succeed())
		Expect(p.Executed).To(Equal(failure.ExecutedNo), string(text))
		Expect(p.RetryAfterMS).To(BeNumerically(">", 0), string(text))
		refused++
		time.Sleep(time.Duration(p.RetryAfterMS) * time.Millisecond)
	}
}

// inProgress reads which of the park's generations are in progress at the engines.
func inProgress(deck *fleet.Fleet, promptTokens int) map[string]bool {
	now := map[string]bool{}
	for _, e := range deck.Engines {
		var records []engine.Record
		Expect(deck.GetJSON("http://"+e.Address+"/admin/records", &records)).To(Succeed())
		for _, r := range records {
			if r.PromptTokens == promptTokens && r.State == engine.StateRunning {
				now[fmt.Sprint(r.Incarnation, r.Generation)] = true
			}
		}
	}
	return now
}

// atOnce counts those that are in progress in two readings: they all were
// between the end of the first and the beginning of the second.
func atOnce(deck *fleet.Fleet, promptTokens int) int {
	first, second, both := inProgress(deck, promptTokens), inProgress(deck, promptTokens), 0
	for id := range first {
		if second[id] {
			both++
		}
	}
	return both
}

// promptTokens learns from the records how long the engines take a prompt to be.
func promptTokens(deck *fleet.Fleet, known int) int {
	for _, e := range deck.Engines {
		var records []engine.Record
		Expect(deck.GetJSON("http://"+e.Address+"/admin/records", &records)).To(Succeed())
		for _, r := range records {
			if r.PromptTokens != known {
				return r.PromptTokens
			}
		}
	}
	return 0
}

var _ = Describe("an account's limit of requests in progress", func() {
	// A park sends thirty requests at once through all entries. They reach pools
	// in both data centres, and each pool by itself would let three of them run:
	// the park takes twice what its row gives it, and the other members pay.
	It("holds over entries, pools and data centres, and leaves others alone", func() {
		deck := start()
		complete(deck.Hosts[0], clinicKey, clinicPrompt)
		ofClinic := promptTokens(deck, 0)
		complete(deck.Hosts[0], parkKey, parkPrompt)
		ofPark := promptTokens(deck, ofClinic)
		Expect(ofPark).To(BeNumerically(">", ofClinic))

		var wg sync.WaitGroup
		done := make(chan struct{})
		for i := range requests {
			wg.Go(func() { complete(deck.Hosts[i%len(deck.Hosts)], parkKey, parkPrompt) })
		}
		go func() { wg.Wait(); close(done) }()
		var clinic sync.WaitGroup
		clinic.Go(func() {
			for i := range 10 {
				complete(deck.Hosts[i%len(deck.Hosts)], clinicKey, clinicPrompt)
			}
		})
		most := 0
		for running := true; running; {
			select {
			case <-done:
				running = false
			default:
				most = max(most, atOnce(deck, ofPark))
			}
		}
		clinic.Wait()
		AddReportEntry("most of the park at once, limit 3", most)
		Expect(most).To(BeNumerically("<=", maxRunning))
		Expect(most).To(BeNumerically(">=", 2), "the limit is used")
	})
})
