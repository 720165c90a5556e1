package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertdeck/platform/standin"
)

// Answers of the server stand-in that have neither a length nor chunks: they end with the channel.
const (
	// pieces is the number of pieces of an answer, pieceGap the time between two of them.
	pieces   = 40
	pieceGap = 150 * time.Millisecond
)

// piece returns the text of one piece, which is an event of a stream.
func piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// wholeAnswer returns the whole body that the server stand-in makes of a request.
func wholeAnswer(id string) string {
	var text strings.Builder
	for n := 1; n <= pieces; n++ {
		text.WriteString(piece(id, n))
	}
	return text.String()
}

// runServer is the server stand-in as a process of its own. On SIGTERM it goes on serving for the
// time given and then exits, as a server does that is taken away.
func runServer(name string, afterTerm time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		time.Sleep(afterTerm)
		os.Exit(0)
	}()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go serveChannel(name, conn)
	}
}

func serveChannel(name string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get(standin.HeaderRequestID)
	if id == "" {
		// A liveness check.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", standin.HeaderInstanceID, name)
		return
	}
	if meant := req.Header.Get(standin.HeaderExpectInstance); meant != "" && meant != name {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", standin.HeaderRequestID, id)
		return
	}
	fmt.Fprintf(os.Stderr, "runs %s\n", id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: seal-%s\r\n\r\n", standin.HeaderRequestID, id, standin.HeaderSeal, id)
	for n := 1; n <= pieces; n++ {
		if _, err := io.WriteString(conn, piece(id, n)); err != nil {
			fmt.Fprintf(os.Stderr, "drops %s after %d pieces\n", id, n)
			return
		}
		time.Sleep(pieceGap)
	}
	fmt.Fprintf(os.Stderr, "ends %s\n", id)
}

// serverProcess is a server stand-in that runs as a process of its own.
type serverProcess struct {
	id, address string
	cmd         *exec.Cmd
}

// startServer starts a server stand-in.
func (r *rig) startServer(id string, afterTerm time.Duration) (*serverProcess, error) {
	s := &serverProcess{id: id, cmd: exec.Command(os.Args[0], "server", id, strconv.Itoa(int(afterTerm.Milliseconds())))}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	said, err := s.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	r.children = append(r.children, s.cmd)
	go func() {
		for lines := bufio.NewScanner(said); lines.Scan(); {
			r.log("%s %s", id, lines.Text())
		}
		r.log("%s has ended", id)
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	s.address = strings.TrimSpace(line)
	return s, err
}

// answers collects what clients got, by the id of the request.
type answers struct {
	mu   sync.Mutex
	wait sync.WaitGroup
	got  map[string]answer
}

// ask sends a request in the background.
func (a *answers) ask(r *rig, address, id, request string) {
	a.wait.Add(1)
	go func() {
		defer a.wait.Done()
		r.log("client sends %s: %s", id, strings.SplitN(request, "\r\n", 2)[0])
		got := send(address, request, 30*time.Second)
		r.log("client got %s: %s", id, got)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.got[id] = got
	}()
}
