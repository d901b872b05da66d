// Package commander is the command-line tool: its verbs, their output and
// their exit codes.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alexflint/go-arg"

	"banyanquay/internal/refuser"
)

// Exit is the tool's exit code.
type Exit int

// Exit codes; scripts rely on their numbers.
const (
	// OK means that everything asked for was done.
	OK Exit = iota
	// Failed means that it was not, or that some of it was not.
	Failed
	// Usage means that the command line is wrong.
	Usage
	// Conflicted means that another change was accepted first.
	Conflicted
	// Unreachable means that no node answered.
	Unreachable
)

// Config gives a commander its surroundings.
type Config struct {
	Stdout io.Writer
	// Stdin gives the log lines of explain --request.
	Stdin  io.Reader
	Stderr io.Writer
	// HTTP performs the requests; nil means a client of its own.
	HTTP *http.Client
	// Poll is the time between two looks at what is waited for.
	Poll time.Duration
	// CheckSettings returns every fault of a daemon's settings; nil means
	// that settings can't be checked.
	CheckSettings func(data []byte) []string
}

// Commander runs verbs.
type Commander struct {
	cfg Config
}

// New returns a commander.
func New(cfg Config) *Commander {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{
			Proxy:                 http.ProxyFromEnvironment,
			ResponseHeaderTimeout: headerTimeout,
		}}
	}
	if cfg.Poll <= 0 {
		cfg.Poll = defaultPoll
	}
	return &Commander{cfg: cfg}
}

// Times of the tool.
const (
	defaultPoll   = 250 * time.Millisecond
	headerTimeout = 60 * time.Second
)

// defaultNode is where a node listens by default.
const defaultNode = "http://127.0.0.1:8080"

// arguments are the tool's command line.
type arguments struct {
	Publish   *publishVerb   `arg:"subcommand:publish" help:"publish an organisation's template or remove it"`
	Diff      *diffVerb      `arg:"subcommand:diff" help:"compare a template file with what is in force"`
	History   *historyVerb   `arg:"subcommand:history" help:"list an organisation's newest changes"`
	Restore   *restoreVerb   `arg:"subcommand:restore" help:"put a node's last known configuration in force after all others were lost"`
	Orgs      *orgsVerb      `arg:"subcommand:orgs" help:"list the organisations"`
	Nodes     *nodesVerb     `arg:"subcommand:nodes" help:"list the nodes"`
	Endpoints *endpointsVerb `arg:"subcommand:endpoints" help:"list the endpoints"`
	Drain     *drainVerb     `arg:"subcommand:drain" help:"make a node leave"`
	Ask       *askVerb       `arg:"subcommand:ask" help:"send a chat request"`
	Explain   *explainVerb   `arg:"subcommand:explain" help:"explain a result code or a log event"`
	Check     *checkVerb     `arg:"subcommand:check" help:"check a template or settings file"`

	Node []string `arg:"--node,separate,env:BANYANQUAY_NODE" placeholder:"URL" help:"a node to talk to; may be repeated [default: http://127.0.0.1:8080]"`
	Key  string   `arg:"--key,env:BANYANQUAY_KEY" placeholder:"KEY" help:"the operator's or caller's key; better set in the environment"`
	JSON bool     `arg:"--json" help:"print JSON"`
}

// Description heads the help text.
func (arguments) Description() string {
	return "banyanquay operates and asks a fleet of banyanquay nodes."
}

// Epilogue ends the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict, 4 no node reached.\n" +
		"\"banyanquay VERB --help\" gives examples."
}

// verb is what each subcommand does.
type verb interface {
	// run performs the verb.
	run(ctx context.Context, s session) error
	// examples end the verb's help text.
	examples() string
}

// session is one run of the tool.
type session struct {
	cfg    Config
	client client
	json   bool
}

// Run runs the tool with its arguments.
func (c *Commander) Run(ctx context.Context, args []string) Exit {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "banyanquay", Out: c.cfg.Stderr}, &parsed)
	if err != nil {
		return c.fail(err)
	}
	err = parser.Parse(args)
	chosen, _ := parser.Subcommand().(verb)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return c.help(parser, chosen)
	case err != nil:
		return c.usage(parser, err.Error())
	case chosen == nil:
		return c.usage(parser, "say what to do")
	}
	if len(parsed.Node) == 0 {
		parsed.Node = []string{defaultNode}
	}
	cl, err := newClient(c.cfg.HTTP, parsed.Node, parsed.Key)
	if err != nil {
		return c.fail(err)
	}
	return c.fail(chosen.run(ctx, session{cfg: c.cfg, client: cl, json: parsed.JSON}))
}

// help prints the help text of the tool or of a verb.
func (c *Commander) help(parser *arg.Parser, chosen verb) Exit {
	if err := parser.WriteHelpForSubcommand(c.cfg.Stdout, parser.SubcommandNames()...); err != nil {
		return c.fail(err)
	}
	if chosen != nil {
		say(c.cfg.Stdout, "\nExamples:\n%s", chosen.examples())
	}
	return OK
}

// usage tells what is wrong with the command line.
func (c *Commander) usage(parser *arg.Parser, message string) Exit {
	_ = parser.WriteUsageForSubcommand(c.cfg.Stderr, parser.SubcommandNames()...)
	say(c.cfg.Stderr, "banyanquay: %v\n", message)
	say(c.cfg.Stderr, "\"banyanquay --help\" and \"banyanquay VERB --help\" tell more\n")
	return Usage
}

// fail prints an error with what to do about it, and returns its exit code.
func (c *Commander) fail(err error) Exit {
	if err == nil {
		return OK
	}
	say(c.cfg.Stderr, "banyanquay: %v\n", err)
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

// say prints for people; nobody could be told that it failed.
func say(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
