package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertdeck/platform/standin"
)

const (
	// memoryLimitMB is limits.memory_mb of the settings on the users' pages.
	memoryLimitMB = 134
	// largestBody is max_body_bytes of the desired state on the users' pages.
	largestBody = 4194304
	// usualClients send large bodies all the time, burstClients send in the burst: 1.7 times as many.
	usualClients = 13
	burstClients = 22
	burstTime    = 3 * time.Second
	// lostAllowed is how often LOST lets a kept channel be closed without an answer.
	lostAllowed = 3
)

// ownMemoryMB returns the memory of a process without the pages of its program file.
func ownMemoryMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// keptChannel is a client that sends one request after the other on one channel.
type keptChannel struct {
	conn net.Conn
	in   *bufio.Reader
	// answered counts the answers on this channel.
	answered int
}

func (c *keptChannel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	*c = keptChannel{}
}

// post sends a request and returns the status of its answer. lost is set if the channel was
// closed without an answer and had carried an answer before.
func (c *keptChannel) post(address, id string, body []byte) (status int, lost bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
			c.conn = nil
			return 0, false, err
		}
		c.in = bufio.NewReader(c.conn)
	}
	kept := c.answered > 0
	_ = c.conn.SetDeadline(time.Now().Add(30 * time.Second))
	head := fmt.Sprintf("POST /b/upload HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: 30000\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n", standin.HeaderRequestID, id, standin.HeaderDeadline, len(body))
	if _, err = c.conn.Write([]byte(head)); err == nil {
		_, err = c.conn.Write(body)
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		status = resp.StatusCode
	}
	if err != nil {
		c.close()
		return 0, kept, err
	}
	c.answered++
	if resp.Close {
		c.close()
	}
	return status, false, nil
}

// playLargeBodies has clients send bodies of the longest allowed length on kept channels, and
// more of them in a burst. The platform ends a process whose memory exceeds its limit.
func playLargeBodies(p *play) bool {
	p.putConfig(1)
	h := newHost()
	first := serverOptions{id: "i-1", address: freeAddress(), events: 10, gap: 50 * time.Millisecond}
	p.startServer(first)
	p.store.PutServer(first.id, service, first.address, "ready")
	p.startHosts(h)
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	watched := make(chan bool, 1)
	var most float64
	go func() { watched <- p.enforceMemory(h, stop, &most) }()
	var mu sync.Mutex
	statuses := map[string]int{}
	lost := map[string]bool{}
	body := bytes.Repeat([]byte("x"), largestBody)
	var clients sync.WaitGroup
	client := func(name string, until time.Time) {
		defer clients.Done()
		channel := &keptChannel{}
		defer channel.close()
		for i := 1; time.Now().Before(until); i++ {
			id := fmt.Sprintf("%s-%d", name, i)
			status, isLost, err := channel.post(h.callers, id, body)
			mu.Lock()
			if err != nil {
				statuses["closed without an answer"]++
				p.logf("client got for %s: %v (kept channel %t)", id, err, isLost)
			} else {
				statuses[fmt.Sprint(status)]++
			}
			if isLost {
				lost[id] = true
			}
			mu.Unlock()
			if err != nil {
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	begin := time.Now()
	end := begin.Add(12 * time.Second)
	p.logf("%d clients send bodies of %d bytes on kept channels", usualClients, largestBody)
	for i := range usualClients {
		clients.Add(1)
		go client(fmt.Sprintf("usual-%d", i+1), end)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if p.trouble {
		p.logf("burst: %d clients for %s", burstClients, burstTime)
		for i := range burstClients - usualClients {
			clients.Add(1)
			go client(fmt.Sprintf("burst-%d", i+1), time.Now().Add(burstTime))
		}
	}
	clients.Wait()
	close(stop)
	killed := <-watched
	p.logf("answers: %v; most memory of the gateway %.0f MB of %d", statuses, most, memoryLimitMB)
	ran := p.ranRequests(first.id)
	passedOn := 0
	for id := range lost {
		if ran[id] {
			passedOn++
		}
	}
	p.logf("server i-1 ran %d requests; %d of those on kept channels that were closed without an answer had reached it", len(ran), passedOn)
	if !p.trouble && (killed || len(lost) > 0) {
		p.fail("the process was ended without the disruption")
	}
	return passedOn > lostAllowed
}

// enforceMemory ends the gateway's process once its memory exceeds the limit, and starts it
// again, as the platform does.
func (p *play) enforceMemory(h *host, stop <-chan struct{}, most *float64) (killed bool) {
	for {
		select {
		case <-stop:
			return killed
		case <-time.After(10 * time.Millisecond):
		}
		now := ownMemoryMB(h.cmd.Process.Pid)
		*most = max(*most, now)
		if now > memoryLimitMB {
			killed = true
			p.logf("platform ends the gateway: its memory is %.0f MB, the limit %d MB", now, memoryLimitMB)
			kill(h.cmd)
			time.Sleep(500 * time.Millisecond)
			p.restart(h)
		}
	}
}
