package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"filbertdeck/platform/standin"
)

// serverOptions are the options of a server process.
type serverOptions struct {
	id, address string
	// events is the number of events of a stream, or of parts of a plain answer, one each gap.
	events int
	gap    time.Duration
	// unframed answers have neither a length nor chunks and end with their channel.
	unframed bool
	// version is that of the server's software. Versions write different texts.
	version string
	// plainTime is the time that a plain answer takes in all, if it is not events times gap.
	plainTime time.Duration
}

// startServer starts a server as a process of its own. Each line that it writes says what it
// runs.
func (p *play) startServer(o serverOptions) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "server", "--id", o.id, "--address", o.address, "--events", fmt.Sprint(o.events), "--gap", o.gap.String(), fmt.Sprintf("--unframed=%t", o.unframed), "--version", o.version, "--plain-time", o.plainTime.String())
	cmd = p.start(cmd, o.id+".log")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", o.address)
		if err == nil {
			_ = conn.Close()
			return cmd
		}
	}
	p.fail("server %s does not listen", o.id)
	return nil
}

// logRuns writes down what a server ran, and how much of each answer it wrote.
func (p *play) logRuns(id string) {
	log, err := os.ReadFile(filepath.Join(p.dir, id+".log"))
	if err != nil {
		p.fail("%v", err)
	}
	wrote := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(log)), "\n") {
		request, progress, isProgress := strings.Cut(line, ": ")
		switch {
		case isProgress:
			wrote[request] = progress
		case line != "":
			p.logf("server %s %s", id, line)
		}
	}
	for request, progress := range wrote {
		p.logf("server %s %s for %s", id, progress, request)
	}
}

// ranRequests returns the ids of the requests that a server ran.
func (p *play) ranRequests(id string) map[string]bool {
	log, err := os.ReadFile(filepath.Join(p.dir, id+".log"))
	if err != nil {
		p.fail("%v", err)
	}
	ran := map[string]bool{}
	for _, line := range strings.Split(string(log), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "runs" {
			ran[fields[1]] = true
		}
	}
	return ran
}

// part returns one event of a stream, or one part of a plain answer.
func (o serverOptions) part(request string, stream bool, number int) string {
	switch {
	case !stream:
		return fmt.Sprintf("%s part %3d of the answer\n", request, number)
	case o.version == "":
		return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, request, number)
	}
	return fmt.Sprintf("id: %d\ndata: %s piece %d of version %s\n\n", number, request, number, o.version)
}

// wholeBody returns the whole body of a server's answer to a request.
func (o serverOptions) wholeBody(request string, stream bool) string {
	return o.bodyFrom(1, request, stream)
}

// bodyFrom returns the body from a part on.
func (o serverOptions) bodyFrom(first int, request string, stream bool) string {
	var out strings.Builder
	for i := first; i <= o.events; i++ {
		out.WriteString(o.part(request, stream, i))
	}
	return out.String()
}

// serveAsServer is a server as the users' pages describe it: it runs a request that is meant
// for it and answers with its seal. Copies of runs find no room.
func serveAsServer(args []string) {
	var o serverOptions
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&o.id, "id", "", "the server's id")
	flags.StringVar(&o.address, "address", "", "ip:port")
	flags.IntVar(&o.events, "events", 1, "events of a stream")
	flags.DurationVar(&o.gap, "gap", 0, "time between events")
	flags.BoolVar(&o.unframed, "unframed", false, "answers end with their channel")
	flags.StringVar(&o.version, "version", "", "version of the server's software, which stands in what it writes; empty for none")
	flags.DurationVar(&o.plainTime, "plain-time", 0, "time of a plain answer; 0 for events times gap")
	_ = flags.Parse(args)
	copies := newCopies()
	born := time.Now().UnixMilli()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == standin.PathReport:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{"stage": "any", "busy": false, "seq": 1, "queued": 0, "active": 1, "kv_used": 100, "kv_total": 30000, "handles": 0, "state": "ready", "born": born, "runs": []any{}})
		case r.URL.Path == "/health":
			w.Header().Set("X-Filbertdeck-Instance-Id", o.id)
		case strings.HasPrefix(r.URL.Path, pathCopy):
			copies.add(strings.TrimPrefix(r.URL.Path, pathCopy))
		case strings.HasPrefix(r.URL.Path, "/api/"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.Header.Get(standin.HeaderExpectInstance) != o.id:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case r.Header.Get(standin.HeaderKVFrom) != "" && !copies.take(r.Header.Get(standin.HeaderKVFrom)):
			w.Header().Set(standin.HeaderNotExecuted, "1")
			w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			o.answer(w, r)
		}
	})
	fmt.Println(http.ListenAndServe(o.address, handler))
}

// answer runs a request and writes its answer piece by piece.
func (o serverOptions) answer(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(standin.HeaderRequestID)
	stream := strings.HasPrefix(r.URL.Path, "/s/")
	fmt.Printf("runs %s (%s %s)\n", request, r.Method, r.RequestURI)
	head := fmt.Sprintf("%s: %s\r\n%s: seal-%s\r\nX-Filbertdeck-Weight-Versions: 1\r\n", standin.HeaderRequestID, request, standin.HeaderSeal, request)
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	} else {
		head += "Content-Type: text/plain\r\n"
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// A run that goes on from a copy continues behind the last event that the client has.
	first := 1
	if r.Header.Get(standin.HeaderKVFrom) != "" {
		last, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
		first = last + 1
		fmt.Printf("goes on with %s behind event %d\n", request, last)
	}
	if o.unframed {
		head += "Connection: close\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n", len(o.bodyFrom(first, request, stream)))
	}
	out := buffered.Writer
	if !stream && o.plainTime > 0 {
		time.Sleep(o.plainTime)
		o.gap = 0
	}
	write(out, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
	backup := r.Header.Get(standin.HeaderBackup)
	for i := first; i <= o.events; i++ {
		time.Sleep(o.gap)
		if backup != "" {
			go sendCopy(backup, request)
		}
		write(out, o.part(request, stream, i))
		fmt.Printf("%s: wrote %d of %d\n", request, i, o.events)
	}
	fmt.Printf("ends %s\n", request)
}

func write(out *bufio.Writer, text string) {
	_, _ = out.WriteString(text)
	_ = out.Flush()
}
