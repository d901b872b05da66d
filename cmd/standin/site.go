package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/platform/imitator"
)

// siteArgs are the arguments of a site: a store, engines and a plain service.
type siteArgs struct {
	IP      string   `arg:"--ip" default:"127.0.42.1" help:"address to listen on"`
	Port    int      `arg:"--port,required" help:"port of the store; endpoints take those after it"`
	Centres []string `arg:"--centre,separate" help:"data centre; repeatable"`
	Engines int      `arg:"--engines" default:"3" help:"engines in each data centre"`
	// KillAfter and Kill select an engine that ends while the site runs, and when.
	KillAfter time.Duration `arg:"--kill-after" help:"when the first engine of --kill ends; 0 means never"`
	Kill      string        `arg:"--kill" help:"data centre of the engine that ends"`
}

func (s *siteArgs) run(ctx context.Context) error {
	site := imitator.New(imitator.Config{IP: s.IP, Port: s.Port, Centres: s.Centres, Engines: s.Engines})
	if s.KillAfter > 0 {
		engines := site.EngineAddresses(s.Kill)
		if len(engines) == 0 {
			return trace.BadParameter("unknown data centre %q, or it has no engine", s.Kill)
		}
		timer := time.AfterFunc(s.KillAfter, func() { site.Kill(engines[0]) })
		defer timer.Stop()
	}
	fmt.Println("store at", site.Address())
	return site.Step().Run(ctx)
}

// visitArgs are the arguments of callers of a site's nodes.
type visitArgs struct {
	Discovery []string `arg:"--discovery,separate,required" help:"host:port of a node that tells addresses; repeatable"`
	Centre    string   `arg:"--centre" default:"a" help:"data centre of the callers"`
	Key       string   `arg:"--key" help:"API key; the site's own if empty"`
	Streams   int      `arg:"--streams" help:"generations to ask for at once"`
	Events    int      `arg:"--events" default:"100" help:"events that each must have"`
	Method    string   `arg:"--method" default:"GET" help:"method of --path"`
	Path      string   `arg:"--path" help:"path to call once"`
	Expect    int      `arg:"--expect" default:"200" help:"status that the call must get"`
	NoResume  bool     `arg:"--no-resume" help:"fail if a stream had to be resumed by its caller"`
}

func (v *visitArgs) run(ctx context.Context) error {
	if v.Key == "" {
		v.Key = imitator.Key
	}
	if v.Path != "" {
		return v.call(ctx)
	}
	return v.streams(ctx)
}

// call sends one request.
func (v *visitArgs) call(ctx context.Context) error {
	visitor := imitator.Caller{Discovery: v.Discovery[0], Centre: v.Centre, Key: v.Key}
	code, body, err := visitor.Call(ctx, v.Method, v.Path, fmt.Sprint("visit-", time.Now().UnixNano()))
	if err != nil {
		return err
	}
	fmt.Println(code, body)
	if code != v.Expect {
		return trace.BadParameter("got status %d, want %d", code, v.Expect)
	}
	return nil
}

// streams requests generations from all nodes and checks each event.
func (v *visitArgs) streams(ctx context.Context) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var faults []error
	resumed := 0
	for n := range v.Streams {
		visitor := imitator.Caller{Discovery: v.Discovery[n%len(v.Discovery)], Centre: v.Centre, Key: v.Key}
		wg.Go(func() {
			times, err := visitor.Stream(ctx, fmt.Sprintf("visit-%d-%d", time.Now().UnixNano(), n), v.Events)
			mu.Lock()
			defer mu.Unlock()
			resumed += times
			if err != nil {
				faults = append(faults, err)
			}
		})
	}
	wg.Wait()
	fmt.Printf("%d streams, %d whole, %d resumed by their callers\n", v.Streams, v.Streams-len(faults), resumed)
	if v.NoResume && resumed > 0 {
		faults = append(faults, trace.BadParameter("%d streams were resumed", resumed))
	}
	return trace.NewAggregate(faults...)
}
