//go:build !race

package tracker

import "time"

// Size of the large fleet, and how long its regions are partitioned. Those of the
// small one are partitioned for an hour.
const (
	largeFleetNodes        = 350
	largePartitionDuration = 2 * time.Minute
)
