package main

import (
	"net/http"
	"path"
	"sync"
	"time"
)

// pathCopy is where servers send each other the memory of a run, of which these stand-ins only
// need its id. The pages leave it to the servers how they do that.
const pathCopy = "/standin-copy/"

// copies are the runs whose memory a server keeps for others. They are gone when it ends.
type copies struct {
	mu    sync.Mutex
	byRun map[string]bool
}

func newCopies() *copies { return &copies{byRun: map[string]bool{}} }

func (c *copies) add(run string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRun[run] = true
}

// take reports whether there is a copy of the run that Kv-From names. It can be used once.
func (c *copies) take(kvFrom string) bool {
	run := path.Base(kvFrom)
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.byRun[run]
	delete(c.byRun, run)
	return found
}

// sendCopy sends the memory of a run to the server that keeps its copy.
func sendCopy(address, run string) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+address+pathCopy+run, "text/plain", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}
