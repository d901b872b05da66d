package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// answerLines is the number of lines of a child's answer, and lineTime the time between two.
	answerLines = 12
	lineTime    = 25 * time.Millisecond
	// streamEvents is the number of events of a child's stream, and eventTime the time between two.
	streamEvents = 40
	eventTime    = 40 * time.Millisecond
)

// answerEvent returns an event of the stream that answers a request.
func answerEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}

// answerLine returns a line of the answer to a request.
func answerLine(id string, n int) string {
	return fmt.Sprintf("line %d of %d, pallet booking %s: confirmed by the order desk, keep this text\n", n, answerLines, id)
}

// child is a server of a plain service in a process of its own. Its answers have no length and end
// with their connections.
type child struct {
	*server
	cmd *exec.Cmd

	childMu sync.Mutex
	// begun and ended hold the requests that it began to run and that it answered as a whole.
	begun map[string]time.Time
	ended map[string]bool
}

// startChild starts the process of a child at its address.
func (f *fleet) startChild(c *child) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	c.cmd = exec.Command(program, "serve", c.address, c.id)
	c.cmd.Stderr = os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.cmd.Start(); err != nil {
		return err
	}
	c.born = time.Now().UnixMilli()
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			word, id, _ := strings.Cut(lines.Text(), " ")
			f.rec.line("server %s %s %s", c.id, word, id)
			c.childMu.Lock()
			if word == "runs" {
				c.begun[id] = time.Now()
			} else {
				c.ended[id] = true
			}
			c.childMu.Unlock()
		}
	}()
	return nil
}

// answering returns how many requests the child is answering.
func (c *child) answering() int {
	c.childMu.Lock()
	defer c.childMu.Unlock()
	return len(c.begun) - len(c.ended)
}

// serveChild is the process of a child.
func serveChild(address, id string) int {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	var mu sync.Mutex
	say := func(word, request string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Println(word, request)
	}
	err = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		request := r.Header.Get(names.RequestID)
		if want := r.Header.Get(names.Expect); want != "" && want != id {
			w.Header().Set(names.RequestID, request)
			w.Header().Set(names.Instance, id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		say("runs", request)
		if !writeAnswer(conn, r, id, request) {
			return
		}
		say("answered", request)
	}))
	fmt.Fprintln(os.Stderr, err)
	return unable
}

// writeAnswer writes an answer without a length: a stream or some lines. It reports whether it was
// written as a whole.
func writeAnswer(conn net.Conn, r *http.Request, id, request string) bool {
	kind, pause, last, part := "text/plain", lineTime, answerLines, answerLine
	first := 1
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		kind, pause, last, part = "text/event-stream", eventTime, streamEvents, answerEvent
		if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = after + 1
		}
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n%s: sig.%s.%s\r\nConnection: close\r\n\r\n",
		kind, names.RequestID, request, names.Signature, id, request)
	for n := first; n <= last; n++ {
		time.Sleep(pause)
		if _, err := io.WriteString(conn, part(request, n)); err != nil {
			return false
		}
	}
	return true
}
