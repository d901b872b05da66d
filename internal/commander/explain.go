package commander

import (
	"context"
	"fmt"
	"strconv"

	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
)

// explainCommand explains a result code, a log event or the course of one request.
type explainCommand struct {
	Code    string `arg:"positional" placeholder:"CODE" help:"a result code's number or name, or a log event's number or message"`
	Request string `arg:"--request" placeholder:"ID" help:"tell a request's story from log lines on standard input"`
}

func (*explainCommand) examples() string {
	return "  banyanquay explain 6001\n  banyanquay explain conflict\n  banyanquay explain 400\n  banyanquay explain --request 62f1c0de5a7b9910 <node.log\n"
}

// explainOutput is the JSON output of explain.
type explainOutput struct {
	Number int    `json:"number"`
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Status int    `json:"status,omitempty"`
	Retry  bool   `json:"retry,omitempty"`
	Title  string `json:"title,omitempty"`
	Advice string `json:"advice,omitempty"`
}

func (c *explainCommand) run(_ context.Context, s session) error {
	if c.Request != "" {
		return explainRequest(s, c.Request)
	}
	out, ok := explain(c.Code)
	if !ok {
		return &usageError{fmt.Sprintf("%q is not a result code or log event; docs/CODES.md and docs/EVENTS.md list them", c.Code)}
	}
	if s.json {
		return s.printJSON(out)
	}
	printf(s.cfg.Stdout, "%d %s (%s)\n%s\nWhat to do: %s\n", out.Number, out.Name, out.Kind, out.Title, out.Advice)
	if out.Status != 0 {
		printf(s.cfg.Stdout, "HTTP status %d, retrying may help: %t\n", out.Status, out.Retry)
	}
	return nil
}

// explain looks up a result code or log event by number or name.
func explain(code string) (explainOutput, bool) {
	// A code that is a name gives 0, which no row has.
	number, _ := strconv.Atoi(code)
	for _, row := range refuser.Table() {
		if int(row.Code) == number || row.Code.String() == code {
			return explainOutput{
				Number: int(row.Code), Name: row.Code.String(), Kind: "result code",
				Status: row.Status, Retry: row.Retry, Title: row.Title, Advice: row.Advice,
			}, true
		}
	}
	for _, row := range recorder.Catalogue() {
		if int(row.Event) == number || row.Event.String() == code {
			return explainOutput{
				Number: int(row.Event), Name: row.Event.String(), Kind: "log event",
				Title: row.Meaning, Advice: row.Advice,
			}, true
		}
	}
	return explainOutput{}, false
}
