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
}

// startServer starts a server as a process of its own. Each line that it writes says what it
// runs.
func (p *play) startServer(o serverOptions) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "server", "--id", o.id, "--address", o.address, "--events", fmt.Sprint(o.events), "--gap", o.gap.String(), fmt.Sprintf("--unframed=%t", o.unframed))
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

// eventText returns one event of a stream.
func eventText(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, request, number)
}

// partText returns one part of a plain answer.
func partText(request string, number int) string {
	return fmt.Sprintf("%s part %3d of the answer\n", request, number)
}

// wholeBody returns the whole body of a server's answer to a request.
func wholeBody(request string, stream bool, events int) string {
	var out strings.Builder
	for i := 1; i <= events; i++ {
		if stream {
			out.WriteString(eventText(request, i))
		} else {
			out.WriteString(partText(request, i))
		}
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
	_ = flags.Parse(args)
	born := time.Now().UnixMilli()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == standin.PathReport:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{"stage": "any", "busy": false, "seq": 1, "queued": 0, "active": 1, "kv_used": 100, "kv_total": 30000, "handles": 0, "state": "ready", "born": born, "runs": []any{}})
		case r.URL.Path == "/health":
			w.Header().Set("X-Filbertdeck-Instance-Id", o.id)
		case strings.HasPrefix(r.URL.Path, "/api/"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.Header.Get(standin.HeaderExpectInstance) != o.id:
			w.WriteHeader(http.StatusMisdirectedRequest)
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
	body := wholeBody(request, stream, o.events)
	if o.unframed {
		head += "Connection: close\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n", len(body))
	}
	out := buffered.Writer
	write(out, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
	for i := 1; i <= o.events; i++ {
		time.Sleep(o.gap)
		if stream {
			write(out, eventText(request, i))
		} else {
			write(out, partText(request, i))
		}
		fmt.Printf("%s: wrote %d of %d\n", request, i, o.events)
	}
	fmt.Printf("ends %s\n", request)
}

func write(out *bufio.Writer, text string) {
	_, _ = out.WriteString(text)
	_ = out.Flush()
}
