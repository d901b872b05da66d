package main

import (
	"net/http"
	"time"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/loader"
	"banyanquay/internal/supervisor"
	"banyanquay/platform"
)

// newPlatform returns the platform's clients and decoders for a node whose endpoints
// forward requests to each other.
func newPlatform(s loader.Settings, c *counter.Set, memory bounder.Budget) supervisor.Platform {
	store := platform.NewStore(platform.StoreConfig{
		Address: s.Platform, Memory: memory.Control,
		OnCall: func(name string, err error) {
			c.Fleet.Add("store_calls", 1)
			if err != nil {
				c.Fleet.Add("store_calls_failed", 1)
			}
		},
		OnEra: func(_, _ uint64) { c.Fleet.Add("store_eras", 1) },
	})
	return supervisor.Platform{
		Topics: store.Topics(), Relay: platform.NewEndpoints(platform.EndpointsConfig{Memory: memory}).Relay(),
		ConfigTopic: platform.TopicConfig, ConfigKey: platform.KeyConfig,
		EndpointTopic: platform.TopicEndpoints, NodeTopic: platform.TopicNodes, LeadTopic: platform.TopicLead,
		QuarantineTopic:     platform.TopicQuarantine,
		DecodeConfiguration: platform.Configuration, DecodeEntry: platform.Entry, DecodeRequest: platform.Request,
		DiscoveryHandler: func(answer func(string) ([]string, time.Duration)) http.Handler {
			return platform.DiscoveryHandler(func(d platform.DiscoveryQuery) ([]string, time.Duration) {
				return answer(d.Centre)
			})
		},
		ReadinessHandler: platform.ReadinessHandler,
	}
}
