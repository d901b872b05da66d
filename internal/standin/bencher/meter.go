package bencher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/standin/generator"
)

// counters are the counters of the fleet at one time.
type counters struct {
	totals generator.Totals
	// cpu is the nodes' processor time.
	cpu time.Duration
}

// readCounters reads the engines' totals and the nodes' processor time.
func (b *Bencher) readCounters(ctx context.Context, nodes []Node) (counters, error) {
	var r counters
	var err error
	if r.totals, err = b.engineTotals(ctx); err != nil {
		return r, err
	}
	for _, n := range nodes {
		cpu, err := processorTime(n.PID)
		if err != nil {
			return r, err
		}
		r.cpu += cpu
	}
	return r, nil
}

// engineTotals sums up the totals of all engines; an engine that cannot be read,
// such as a killed one, counts with its last totals.
func (b *Bencher) engineTotals(ctx context.Context) (generator.Totals, error) {
	var sum generator.Totals
	for _, e := range b.cfg.Endpoints {
		totals, err := fetch[generator.Totals](ctx, b.control, e.Address, "/totals")
		if last, ok := b.lastTotals[e.Address]; err != nil && ok {
			totals, err = last, nil
		}
		if err != nil {
			return sum, err
		}
		b.lastTotals[e.Address] = totals
		sum = sum.Add(totals)
	}
	return sum, nil
}

// amplification returns the work done over the work that the received tokens
// needed.
func (b *Bencher) amplification(work generator.Totals, done []outcome) float64 {
	return ratio(float64(work.Work), float64(countTokens(done)*b.cfg.Layers))
}

// countTokens counts the tokens that callers received.
func countTokens(done []outcome) int {
	n := 0
	for _, o := range done {
		n += len(o.tokens)
	}
	return n
}

// Indexes of the fields of /proc/PID/stat after the command's name, and the clock
// tick that these fields count.
const (
	userField   = 11
	systemField = 12
	clockTick   = 10 * time.Millisecond
)

// processorTime returns how long a process has run on a processor.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemField {
		return 0, trace.BadParameter("malformed stat of process %d", pid)
	}
	user, err := strconv.Atoi(fields[userField])
	if err != nil {
		return 0, trace.Wrap(err)
	}
	system, err := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick, trace.Wrap(err)
}

// maxAnswerBytes limits the bytes read of an answer.
const maxAnswerBytes = 64 << 20

// fetch gets a JSON value.
func fetch[T any](ctx context.Context, client *http.Client, address, path string) (T, error) {
	return exchange[T](ctx, client, http.MethodGet, address, path, nil)
}

// exchange sends a JSON body, which may be empty, and decodes the answer.
func exchange[T any](ctx context.Context, client *http.Client, method, address, path string, body []byte) (T, error) {
	var zero T
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return zero, trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return zero, trace.Wrap(err, "%s %s at %s", method, path, address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return zero, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return zero, trace.BadParameter("%s %s at %s: %s", method, path, address, resp.Status)
	}
	return encoder.FromJSON[T](data)
}

// addresses returns the nodes' addresses.
func addresses(nodes []Node) []string {
	list := make([]string, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n.Address)
	}
	return list
}
