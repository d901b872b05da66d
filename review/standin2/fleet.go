package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine with one node.
type machine struct {
	n    int
	name string
	ip   string
	zone string
	cmd  *exec.Cmd
	// store is the address at which the machine calls the store.
	store string
	log   *os.File
	done  chan struct{}
}

// ports are those of all machines.
type ports struct{ frontend, readiness, control, directory, metrics, store, server int }

// fleet is a deployment on loopback addresses.
type fleet struct {
	rec      *record
	dir      string
	program  string
	store    *store
	machines []*machine
	servers  []*server
	ports    ports
	// base is the second byte of the addresses: 127.base.x.y.
	base int
}

// bounds of the deployment, as the pages set them for the small ones.
const (
	drainMillis       = 2000
	configApplyMillis = 2000
	revokeMillis      = 5000
	graceSeconds      = 8
	retryRatio        = 0.2
	retryWindow       = 10
	retrySlack        = 198
	memoryMB          = 284
)

// newFleet returns a deployment without machines.
func newFleet(rec *record, program, dir string) (*fleet, error) {
	f := &fleet{rec: rec, dir: dir, program: program, store: newStore(), base: 40 + os.Getpid()%150}
	all := []*int{&f.ports.frontend, &f.ports.readiness, &f.ports.control, &f.ports.directory, &f.ports.metrics, &f.ports.store, &f.ports.server}
	for _, port := range all {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*port = ln.Addr().(*net.TCPAddr).Port
		defer ln.Close()
	}
	return f, nil
}

// ip returns an address of the deployment.
func (f *fleet) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.base, group, n) }

// addMachine adds a machine and the address at which it calls the store.
func (f *fleet) addMachine(zone string) (*machine, error) {
	n := len(f.machines) + 1
	m := &machine{n: n, name: fmt.Sprintf("front-%s-%d", zone, n), ip: f.ip(1, n), zone: zone}
	m.store = net.JoinHostPort(f.ip(2, n), fmt.Sprint(f.ports.store))
	ln, err := net.Listen("tcp", m.store)
	if err != nil {
		return nil, err
	}
	f.store.listen(n, ln)
	f.machines = append(f.machines, m)
	return m, nil
}

// addServer adds a server of a plain service and publishes it.
func (f *fleet) addServer(v *server) error {
	n := len(f.servers) + 1
	v.id, v.rec = fmt.Sprintf("i-%02d%06x", n, os.Getpid()), f.rec
	ln, err := net.Listen("tcp", net.JoinHostPort(f.ip(3, n), fmt.Sprint(f.ports.server)))
	if err != nil {
		return err
	}
	v.address = ln.Addr().String()
	v.start(ln)
	f.servers = append(f.servers, v)
	go v.publish(f.store)
	return nil
}

// settings returns a machine's settings, as the template deploy/node.toml gives them.
func (f *fleet) settings(m *machine) string {
	at := func(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }
	var seeds []string
	for _, other := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, net.JoinHostPort(other.ip, fmt.Sprint(f.ports.control)))
	}
	list, err := json.Marshal(seeds)
	if err != nil {
		panic(err) // strings always encode
	}
	return fmt.Sprintf(`address = %q
centre = %q
region = "gauteng"
platform = %q
fleet_secret = "internal-ports-are-closed-to-others"

[log]
level = "info"
rate = 400

[stop]
address_ttl = "2500ms"
deadline = "%ds"

[relay]
enabled = true
name = %q
frontend = %q
readiness = %q
discovery = %q
metrics = %q
seeds = %s
memory_mb = %d
revoke = "%dms"
retry_ratio = %g
retry_slack = %d
retry_window = "%ds"
`, at(f.ports.control), m.zone, m.store, graceSeconds, m.name, at(f.ports.frontend), at(f.ports.readiness),
		at(f.ports.directory), at(f.ports.metrics), list, memoryMB, revokeMillis, retryRatio, retrySlack, retryWindow)
}

// startMachine starts a machine's node with the command of the deploy file.
func (f *fleet) startMachine(m *machine) error {
	path := filepath.Join(f.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	m.cmd = exec.Command(f.program)
	m.cmd.Env = []string{"BANYANQUAY_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	done := m.done
	go func() {
		err := m.cmd.Wait()
		f.rec.line("%s ended: %v", m.name, err)
		close(done)
	}()
	f.rec.line("%s started, process %d", m.name, m.cmd.Process.Pid)
	return nil
}

// startAll starts all machines.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a machine's node.
func (f *fleet) signal(m *machine, sig syscall.Signal) {
	f.rec.say("%s gets %v", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

// ready reports whether a machine says that it is ready.
func (f *fleet) ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + net.JoinHostPort(m.ip, fmt.Sprint(f.ports.readiness)) + names.Ready
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range f.machines {
			all = all && f.ready(m)
		}
		if all {
			return true
		}
	}
	return false
}

// stopAll ends all nodes.
func (f *fleet) stopAll() {
	var wg sync.WaitGroup
	for _, m := range f.machines {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.done
			_ = m.log.Close()
		}()
	}
	wg.Wait()
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target, attempts   int
}

// configure publishes a configuration and returns when the store accepted it.
func (f *fleet) configure(version int, keys map[string][]string, services []string, routes ...route) time.Time {
	doc := map[string]any{
		"version": version,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, names.PathPrefix: r.prefix, "kind": r.kind, "service": r.service, "timeout-ms": r.timeout,
			names.TargetLatency: r.target, names.MaxAttempts: r.attempts, "priority": 2, "resumable": r.kind == "streaming",
		})
	}
	doc["routes"] = list
	var named []map[string]any
	for _, s := range services {
		named = append(named, map[string]any{"name": s, "max-connections": 100, "health-check": "/health"})
	}
	doc["services"] = named
	var tenants []map[string]any
	for name, k := range keys {
		tenants = append(tenants, map[string]any{"name": name, names.APIKeys: k})
	}
	doc["tenants"] = tenants
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	at := f.store.put(names.Config, "config", data)
	f.rec.say("the store accepted configuration %d", version)
	return at
}

// host is the host of all routes.
const host = "ficu95.example"

// logTail returns the last lines of a machine's log.
func (f *fleet) logTail(m *machine, n int) string {
	data, err := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}
