package commander

import (
	"context"
	"fmt"
	"strconv"

	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
)

// explainVerb explains numbers.
type explainVerb struct {
	Code    string `arg:"positional" placeholder:"CODE" help:"a result code's number or name, or a log event's number or message"`
	Request string `arg:"--request" placeholder:"ID" help:"tell a request's story from log lines on standard input"`
}

func (*explainVerb) examples() string {
	return "  banyanquay explain 6001\n  banyanquay explain conflict\n  banyanquay explain 400\n  banyanquay explain --request 62f1c0de5a7b9910 <node.log\n"
}

// explained is the JSON output of explain.
type explained struct {
	Number int    `json:"number"`
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Status int    `json:"status,omitempty"`
	Retry  bool   `json:"retry,omitempty"`
	Title  string `json:"title,omitempty"`
	Advice string `json:"advice,omitempty"`
}

func (v *explainVerb) run(_ context.Context, s session) error {
	if v.Request != "" {
		return tell(s, v.Request)
	}
	out, ok := explain(v.Code)
	if !ok {
		return &usageError{fmt.Sprintf("%q is no result code or log event; docs/CODES.md and docs/EVENTS.md list them", v.Code)}
	}
	if s.json {
		return s.printJSON(out)
	}
	say(s.cfg.Stdout, "%d %s (%s)\n%s\nWhat to do: %s\n", out.Number, out.Name, out.Kind, out.Title, out.Advice)
	if out.Status != 0 {
		say(s.cfg.Stdout, "HTTP status %d, sending it again may help: %t\n", out.Status, out.Retry)
	}
	return nil
}

// explain finds a result code or log event.
func explain(code string) (explained, bool) {
	// No row has number 0, which stands for a name.
	number, _ := strconv.Atoi(code)
	for _, row := range refuser.Table() {
		if int(row.Code) == number || row.Code.String() == code {
			return explained{
				Number: int(row.Code), Name: row.Code.String(), Kind: "result code",
				Status: row.Status, Retry: row.Retry, Title: row.Title, Advice: row.Advice,
			}, true
		}
	}
	for _, row := range recorder.Catalogue() {
		if int(row.Event) == number || row.Event.String() == code {
			return explained{
				Number: int(row.Event), Name: row.Event.String(), Kind: "log event",
				Title: row.Meaning, Advice: row.Advice,
			}, true
		}
	}
	return explained{}, false
}
