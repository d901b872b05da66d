//go:build race

package watcher

// largeFleetNodes is smaller under the race detector, which slows a fleet of 350
// nodes tenfold.
const largeFleetNodes = 50
