package generator

import (
	"container/list"
	"math/rand/v2"
	"time"

	"banyanquay/internal/driver"
)

// maxEvents limits the cache events that are kept; the oldest are dropped first.
const maxEvents = 10000

// prefixCache is an LRU cache of the prefixes of prompts. The lock of its owner
// guards it.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	delay    time.Duration
	// gaps is the share of events that are never published.
	gaps float64
	rand *rand.Rand
	// lru lists the blocks by last use, newest first.
	lru *list.List
	// elements maps each block to its element in lru.
	elements map[uint64]*list.Element
	// events is ordered by sequence number, and lacks the events that were lost.
	events   []delayedEvent
	sequence uint64
}

// delayedEvent is an event with the time at which readers see it.
type delayedEvent struct {
	driver.PrefixEvent
	visible time.Time
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{
		capacity: cfg.PrefixBlocks,
		delay:    cfg.EventDelay,
		gaps:     cfg.EventGaps,
		rand:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		lru:      list.New(),
		elements: map[uint64]*list.Element{},
	}
}

// insert caches all blocks of a prompt, and returns how many leading blocks were
// already cached.
func (c *prefixCache) insert(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.elements[blocks[hits]] != nil {
		hits++
	}
	for _, block := range blocks {
		c.touch(block)
	}
	return hits
}

// touch marks a block as the most recently used. It adds a block that is not cached,
// and evicts the least recently used one if the cache is full.
func (c *prefixCache) touch(block uint64) {
	if c.capacity <= 0 {
		return
	}
	if element := c.elements[block]; element != nil {
		c.lru.MoveToFront(element)
		return
	}
	if c.lru.Len() >= c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.elements, oldest)
		c.publish(oldest, true)
	}
	c.elements[block] = c.lru.PushFront(block)
	c.publish(block, false)
}

// publish appends an event, unless the event is chosen to be lost.
func (c *prefixCache) publish(block uint64, gone bool) {
	c.sequence++
	if c.rand.Float64() < c.gaps {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, delayedEvent{
		PrefixEvent: driver.PrefixEvent{Sequence: c.sequence, Prefix: block, Gone: gone},
		visible:     time.Now().Add(c.delay),
	})
}

// page returns the visible events from a sequence number on.
func (c *prefixCache) page(from uint64) driver.Prefixes {
	page := driver.Prefixes{Next: max(from, 1)}
	now := time.Now()
	for _, event := range c.events {
		if event.visible.After(now) {
			break
		}
		if event.Sequence >= from {
			page.Events = append(page.Events, event.PrefixEvent)
			page.Next = event.Sequence + 1
		}
	}
	return page
}
