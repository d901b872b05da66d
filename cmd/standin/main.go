// Command standin runs one of the stand-ins used in tests and demonstrations:
// the platform, a model engine, or a plain service. It is not part of a release.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// args is the command line.
type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"run the platform's log and list of VMs"`
	Endpoint *endpointArgs `arg:"subcommand:endpoint" help:"run a model engine"`
	Service  *serviceArgs  `arg:"subcommand:service" help:"run a plain service"`
	Verify   *verifyArgs   `arg:"subcommand:verify" help:"ask for answers and check every token"`
	Call     *callArgs     `arg:"subcommand:call" help:"send one request"`
	Bench    *benchArgs    `arg:"subcommand:bench" help:"load running nodes, cause faults and measure"`
	Site     *siteArgs     `arg:"subcommand:site" help:"run a store, engines that relay, and a plain service"`
	Visit    *visitArgs    `arg:"subcommand:visit" help:"ask the nodes of a site and check every event"`
	Model    *modelArgs    `arg:"subcommand:model" help:"play a load and troubles on emulated engines in fake time, and compare policies"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case a.Platform != nil:
		err = a.Platform.run(ctx)
	case a.Endpoint != nil:
		err = a.Endpoint.run(ctx)
	case a.Service != nil:
		err = a.Service.run(ctx)
	case a.Verify != nil:
		err = a.Verify.run(ctx)
	case a.Call != nil:
		err = a.Call.run(ctx)
	case a.Bench != nil:
		err = a.Bench.run(ctx)
	case a.Site != nil:
		err = a.Site.run(ctx)
	case a.Visit != nil:
		err = a.Visit.run(ctx)
	case a.Model != nil:
		err = a.Model.run()
	default:
		parser.Fail("missing subcommand")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
