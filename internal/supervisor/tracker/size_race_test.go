//go:build race

package tracker

import "time"

// Size of the large fleet, and how long its regions are partitioned. The fleet is
// smaller under the race detector, which slows one of 350 nodes tenfold.
const (
	largeFleetNodes        = 50
	largePartitionDuration = 2 * time.Minute
)
