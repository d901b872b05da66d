package commander

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/recorder"
)

// maxLineBytes limits a log line.
const maxLineBytes = 1 << 20

// logEntry has the fields of a log line that describe a request. Fields that the
// line lacks stay empty.
type logEntry struct {
	Time     time.Time `json:"ts"`
	Event    int       `json:"event"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Service  string    `json:"service"`
	Route    string    `json:"route"`
	Endpoint string    `json:"endpoint"`
	Path     []string  `json:"path"`
	From     []string  `json:"from"`
	To       []string  `json:"to"`
	Suspects []string  `json:"suspects"`
	Silence  string    `json:"silence"`
	Interval string    `json:"interval"`
	Pause    string    `json:"pause"`
	First    string    `json:"first"`
	Took     string    `json:"took"`
	Wait     string    `json:"wait"`
	Name     string    `json:"name"`
	Code     int       `json:"code"`
	Status   int       `json:"status"`
	Ran      string    `json:"ran"`
	Fault    string    `json:"fault"`
	Detail   string    `json:"detail"`
	Error    string    `json:"error"`
	Cause    string    `json:"cause"`
	Sends    int       `json:"sends"`
	Events   int       `json:"events"`
	Never    bool      `json:"never"`
	Midway   bool      `json:"midway"`
	// Configuration is the version of the configuration in force, Confirmed how
	// long ago it was confirmed.
	Configuration int64  `json:"configuration"`
	Confirmed     string `json:"confirmed"`
}

// explainRequest prints the course of a request from the log lines on standard
// input.
func explainRequest(s session, request string) error {
	entries, err := readEntries(s.cfg.Stdin, request)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return trace.NotFound("no log line on standard input is about request %s", request)
	}
	if s.json {
		return s.printJSON(entries)
	}
	for _, e := range entries {
		printf(s.cfg.Stdout, "%s  %s\n", e.Time.Format("15:04:05.000"), e.describe())
	}
	return nil
}

// readEntries returns the log entries about a request, oldest first. It skips lines
// that are not JSON, and what precedes the first brace of a line.
func readEntries(r io.Reader, request string) ([]logEntry, error) {
	var entries []logEntry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(request)) {
			continue
		}
		var e logEntry
		if json.Unmarshal(text[start:], &e) == nil && e.Request == request {
			entries = append(entries, e)
		}
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return entries, trace.Wrap(scanner.Err(), "reading log lines")
}

// describe renders a log entry as text.
func (e logEntry) describe() string {
	switch recorder.Event(e.Event) {
	case recorder.RequestRefused:
		return e.describeRefusal()
	case recorder.RequestEnded:
		return fmt.Sprintf("status %d from %s: first byte after %s, longest pause %s, complete after %s; %d sends",
			e.Status, e.Endpoint, e.First, cmp.Or(e.Pause, "none"), e.Took, e.Sends)
	case recorder.AttemptFailed:
		location := cmp.Or(strings.Join(e.Path, " > "), e.Endpoint)
		cause := cmp.Or(e.Cause, e.Error)
		if e.Never {
			cause = fmt.Sprintf("refused with %d because of %s, not run", e.Status, cmp.Or(e.Fault, location))
		}
		return fmt.Sprintf("attempt at %s failed after %s and %d events: %s", location, e.Took, e.Events, cause)
	case recorder.StreamStalled:
		return fmt.Sprintf("no event for %s, usual interval %s; suspects: %s", e.Silence, e.Interval,
			cmp.Or(strings.Join(e.Suspects, ", "), "unknown"))
	case recorder.PathChanged:
		if e.Error != "" {
			return "changing the path failed: " + e.Error
		}
		return fmt.Sprintf("path changed from %s to %s", strings.Join(e.From, " > "), strings.Join(e.To, " > "))
	default:
		return e.Message
	}
}

func (e logEntry) describeRefusal() string {
	outcome := "refused"
	if e.Midway {
		outcome = "interrupted midway"
	}
	text := fmt.Sprintf("%s after %s with %d %s (ran: %s, %d sends) on route %q of service %q: %s",
		outcome, e.Took, e.Code, e.Name, e.Ran, e.Sends, e.Route, e.Service, e.Detail)
	if e.Configuration > 0 {
		text += fmt.Sprintf("; configuration %d, confirmed %s earlier", e.Configuration, e.Confirmed)
	}
	return text
}
