//go:build !race

package watcher

// largeFleetNodes is the size of the large test fleets.
const largeFleetNodes = 350
