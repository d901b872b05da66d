package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const host, apiKey = "ficu95.example", "n2ctnfzs989anu6wsjnb"

// answer is what a client got. complete is set if the answer ended as one that is whole does.
type answer struct {
	status   int
	signed   bool
	complete bool
	last     int // ID of the last whole event
	gap      bool
	body     []byte
	longest  time.Duration
	err      error
}

// request is one attempt of a client.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 []string
}

// send sends a request to a node and reads the answer.
func send(node string, q request) (a answer) {
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	var b strings.Builder
	b.WriteString(q.method + " " + q.path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + q.id +
		"\r\n" + names["deadline"] + ": " + strconv.FormatInt(q.deadline.Milliseconds(), 10) + "\r\nAuthorization: Bearer " + apiKey + "\r\n")
	for _, h := range q.header {
		b.WriteString(h + "\r\n")
	}
	if q.method == "POST" {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a.status, a.signed = resp.StatusCode, resp.Header.Get(names["signature"]) != ""
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.body, a.err = io.ReadAll(resp.Body)
		a.complete = a.err == nil
		return a
	}
	r := bufio.NewReader(resp.Body)
	previous, id := time.Now(), 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			a.complete = errors.Is(err, io.EOF) && line == "" && id == 0
			if !a.complete {
				a.err = err
			}
			return a
		}
		line = strings.TrimSpace(line)
		if n, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(n)
		}
		if line == "" && id > 0 {
			a.gap = a.gap || id != a.last+1
			a.longest = max(a.longest, time.Since(previous))
			a.last, id, previous = id, 0, time.Now()
		}
	}
}
