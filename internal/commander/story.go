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
	lines, err := readEntries(s.cfg.Stdin, request)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return trace.NotFound("no log line on standard input is about request %s", request)
	}
	if s.json {
		return s.printJSON(lines)
	}
	for _, l := range lines {
		printf(s.cfg.Stdout, "%s  %s\n", l.Time.Format("15:04:05.000"), l.describe())
	}
	return nil
}

// readEntries returns the log entries about a request, oldest first. It skips lines
// that are not JSON, and what precedes the first brace of a line.
func readEntries(r io.Reader, request string) ([]logEntry, error) {
	var lines []logEntry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(request)) {
			continue
		}
		var l logEntry
		if json.Unmarshal(text[start:], &l) == nil && l.Request == request {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b logEntry) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return lines, trace.Wrap(scanner.Err(), "reading log lines")
}

// describe renders a log entry as text.
func (l logEntry) describe() string {
	switch recorder.Event(l.Event) {
	case recorder.RequestRefused:
		return l.describeRefusal()
	case recorder.RequestEnded:
		return fmt.Sprintf("status %d from %s: first byte after %s, longest pause %s, complete after %s; %d sends",
			l.Status, l.Endpoint, l.First, cmp.Or(l.Pause, "none"), l.Took, l.Sends)
	case recorder.TryFailed:
		where := cmp.Or(strings.Join(l.Path, " > "), l.Endpoint)
		why := cmp.Or(l.Cause, l.Error)
		if l.Never {
			why = fmt.Sprintf("refused with %d because of %s, not run", l.Status, cmp.Or(l.Fault, where))
		}
		return fmt.Sprintf("attempt at %s failed after %s and %d events: %s", where, l.Took, l.Events, why)
	case recorder.StreamStalled:
		return fmt.Sprintf("no event for %s, usual interval %s; suspects: %s", l.Silence, l.Interval,
			cmp.Or(strings.Join(l.Suspects, ", "), "unknown"))
	case recorder.PathChanged:
		if l.Error != "" {
			return "changing the path failed: " + l.Error
		}
		return fmt.Sprintf("path changed from %s to %s", strings.Join(l.From, " > "), strings.Join(l.To, " > "))
	default:
		return l.Message
	}
}

func (l logEntry) describeRefusal() string {
	what := "refused"
	if l.Midway {
		what = "interrupted midway"
	}
	text := fmt.Sprintf("%s after %s with %d %s (ran: %s, %d sends) on route %q of service %q: %s",
		what, l.Took, l.Code, l.Name, l.Ran, l.Sends, l.Route, l.Service, l.Detail)
	if l.Configuration > 0 {
		text += fmt.Sprintf("; configuration %d, confirmed %s earlier", l.Configuration, l.Confirmed)
	}
	return text
}
