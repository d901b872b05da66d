// Package commander implements the command-line tool: its subcommands, their output
// and their exit codes.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/alexflint/go-arg"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
)

// ExitCode is the exit code of the tool.
type ExitCode int

// Exit codes. Scripts rely on their numbers.
const (
	// OK means that the subcommand succeeded.
	OK ExitCode = iota
	// Failed means that the subcommand failed completely or in part.
	Failed
	// Usage means that the command line is invalid.
	Usage
	// Conflicted means that another change was accepted first.
	Conflicted
	// Unreachable means that no node could be reached.
	Unreachable
)

// Config configures a commander.
type Config struct {
	Stdout io.Writer
	// Stdin supplies the log lines for explain --request.
	Stdin  io.Reader
	Stderr io.Writer
	// HTTP sends the requests; nil means a client with responseHeaderTimeout.
	HTTP *http.Client
	// PollInterval is the time between two polls of --wait; 0 means the default.
	PollInterval time.Duration
	// CheckSettings returns all validation errors of a daemon's settings; nil means
	// that settings can't be checked.
	CheckSettings func(data []byte) []string
}

// Commander runs subcommands.
type Commander struct {
	cfg Config
}

// New returns a commander.
func New(cfg Config) *Commander {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: driver.NewTransport(&http.Transport{
			Proxy:                 http.ProxyFromEnvironment,
			ResponseHeaderTimeout: responseHeaderTimeout,
		}, &net.Dialer{}, nil)}
	}
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = defaultPollInterval
	}
	return &Commander{cfg: cfg}
}

// Intervals and timeouts.
const (
	defaultPollInterval   = 250 * time.Millisecond
	responseHeaderTimeout = 60 * time.Second
)

// defaultNode is the URL of a node with the default address.
const defaultNode = "http://127.0.0.1:8080"

// arguments is the command line of the tool.
type arguments struct {
	Publish   *publishCommand   `arg:"subcommand:publish" help:"publish an organisation's template or remove it"`
	Diff      *diffCommand      `arg:"subcommand:diff" help:"compare a template file with what is in force"`
	History   *historyCommand   `arg:"subcommand:history" help:"list an organisation's newest changes"`
	Restore   *restoreCommand   `arg:"subcommand:restore" help:"put a node's last known configuration in force after all others were lost"`
	Orgs      *orgsCommand      `arg:"subcommand:orgs" help:"list the organisations"`
	Nodes     *nodesCommand     `arg:"subcommand:nodes" help:"list the nodes"`
	Endpoints *endpointsCommand `arg:"subcommand:endpoints" help:"list the endpoints"`
	Drain     *drainCommand     `arg:"subcommand:drain" help:"make a node leave"`
	Ask       *askCommand       `arg:"subcommand:ask" help:"send a chat request"`
	Explain   *explainCommand   `arg:"subcommand:explain" help:"explain a result code or a log event"`
	Check     *checkCommand     `arg:"subcommand:check" help:"check a template or settings file"`

	Node []string `arg:"--node,separate,env:BANYANQUAY_NODE" placeholder:"URL" help:"a node to talk to; may be repeated [default: http://127.0.0.1:8080]"`
	Key  string   `arg:"--key,env:BANYANQUAY_KEY" placeholder:"KEY" help:"the operator's or caller's key; better set in the environment"`
	JSON bool     `arg:"--json" help:"print JSON"`
}

// Description heads the help text.
func (arguments) Description() string {
	return "banyanquay manages a fleet of banyanquay nodes and sends requests to it."
}

// Epilogue ends the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 failure, 2 invalid command line, 3 conflict, 4 no node reachable.\n" +
		"\"banyanquay COMMAND --help\" gives examples."
}

// subcommand is implemented by each subcommand.
type subcommand interface {
	// run executes the subcommand.
	run(ctx context.Context, s session) error
	// examples returns the examples at the end of the help text.
	examples() string
}

// session is the context of one run of the tool.
type session struct {
	cfg    Config
	client client
	json   bool
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func (c *Commander) Run(ctx context.Context, args []string) ExitCode {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "banyanquay", Out: c.cfg.Stderr}, &parsed)
	if err != nil {
		return c.report(err)
	}
	err = parser.Parse(args)
	chosen, _ := parser.Subcommand().(subcommand)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return c.printHelp(parser, chosen)
	case err != nil:
		return c.reportUsage(parser, err.Error())
	case chosen == nil:
		return c.reportUsage(parser, "missing subcommand")
	}
	if len(parsed.Node) == 0 {
		parsed.Node = []string{defaultNode}
	}
	cl, err := newClient(c.cfg.HTTP, parsed.Node, parsed.Key)
	if err != nil {
		return c.report(err)
	}
	return c.report(chosen.run(ctx, session{cfg: c.cfg, client: cl, json: parsed.JSON}))
}

// printHelp prints the help text of the tool or of a subcommand.
func (c *Commander) printHelp(parser *arg.Parser, chosen subcommand) ExitCode {
	if err := parser.WriteHelpForSubcommand(c.cfg.Stdout, parser.SubcommandNames()...); err != nil {
		return c.report(err)
	}
	if chosen != nil {
		printf(c.cfg.Stdout, "\nExamples:\n%s", chosen.examples())
	}
	return OK
}

// reportUsage prints the usage and what is wrong with the command line.
func (c *Commander) reportUsage(parser *arg.Parser, message string) ExitCode {
	_ = parser.WriteUsageForSubcommand(c.cfg.Stderr, parser.SubcommandNames()...)
	printf(c.cfg.Stderr, "banyanquay: %v\n", message)
	printf(c.cfg.Stderr, "run \"banyanquay --help\" or \"banyanquay COMMAND --help\" for details\n")
	return Usage
}

// report prints an error, if there is one, and returns the exit code.
func (c *Commander) report(err error) ExitCode {
	if err == nil {
		return OK
	}
	printf(c.cfg.Stderr, "banyanquay: %v\n", err)
	var p *problemError
	var u *unreachableError
	var m *usageError
	switch {
	case errors.As(err, &u):
		return Unreachable
	case errors.As(err, &m):
		return Usage
	case errors.As(err, &p) && p.problem.Code == int(refuser.Conflict):
		return Conflicted
	default:
		return Failed
	}
}

// printf writes output for people. Write errors are ignored, as there is nowhere to
// report them.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
