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

// lineBytes bounds a log line.
const lineBytes = 1 << 20

// line is what a story needs of a log line; fields that it has not stay empty.
type line struct {
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
	// Configuration and Confirmed are the version in force and its age.
	Configuration int64  `json:"configuration"`
	Confirmed     string `json:"confirmed"`
}

// tell prints a request's story from the log lines on standard input.
func tell(s session, request string) error {
	lines, err := linesOf(s.cfg.Stdin, request)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return trace.NotFound("no line on standard input is about request %s", request)
	}
	if s.json {
		return s.printJSON(lines)
	}
	for _, l := range lines {
		say(s.cfg.Stdout, "%s  %s\n", l.Time.Format("15:04:05.000"), l.story())
	}
	return nil
}

// linesOf reads the lines about a request, oldest first. What is not JSON is passed
// over, and so is what precedes the first brace of a line.
func linesOf(r io.Reader, request string) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 || !bytes.Contains(text, []byte(request)) {
			continue
		}
		var l line
		if json.Unmarshal(text[at:], &l) == nil && l.Request == request {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return lines, trace.Wrap(scanner.Err(), "reading log lines")
}

// story says in words what a line tells.
func (l line) story() string {
	switch recorder.Event(l.Event) {
	case recorder.RequestRefused:
		return l.refused()
	case recorder.RequestEnded:
		return fmt.Sprintf("answered %d by %s: first byte after %s, longest pause %s, whole after %s; %d sends",
			l.Status, l.Endpoint, l.First, cmp.Or(l.Pause, "none"), l.Took, l.Sends)
	case recorder.TryFailed:
		where := cmp.Or(strings.Join(l.Path, " > "), l.Endpoint)
		why := cmp.Or(l.Cause, l.Error)
		if l.Never {
			why = fmt.Sprintf("refused with %d because of %s, not run", l.Status, cmp.Or(l.Fault, where))
		}
		return fmt.Sprintf("attempt at %s failed after %s and %d events: %s", where, l.Took, l.Events, why)
	case recorder.StreamStalled:
		return fmt.Sprintf("no event for %s, usual are %s; at fault: %s", l.Silence, l.Interval,
			cmp.Or(strings.Join(l.Suspects, ", "), "not known"))
	case recorder.PathChanged:
		if l.Error != "" {
			return "the path could not be changed: " + l.Error
		}
		return fmt.Sprintf("the path changed from %s to %s", strings.Join(l.From, " > "), strings.Join(l.To, " > "))
	default:
		return l.Message
	}
}

// refused tells of a refusal.
func (l line) refused() string {
	what := "refused"
	if l.Midway {
		what = "cut off midway"
	}
	text := fmt.Sprintf("%s after %s with %d %s (ran: %s, %d sends) on route %q of service %q: %s",
		what, l.Took, l.Code, l.Name, l.Ran, l.Sends, l.Route, l.Service, l.Detail)
	if l.Configuration > 0 {
		text += fmt.Sprintf("; configuration %d, confirmed %s before", l.Configuration, l.Confirmed)
	}
	return text
}
