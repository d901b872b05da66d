package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// node is one process of the system, started with the command of the deploy file.
type node struct {
	name, ip, zone string
	// listen addresses, by name.
	control, frontend, readiness, directory string
	access                                  *access
	file                                    string
	cmd                                     *exec.Cmd
	log                                     *os.File
	done                                    chan struct{}
}

// settings returns the fields from which the template of the settings is filled in, with the
// figures of the site's pages.
func (n *node) settings(seeds []string) map[string]any {
	return map[string]any{
		"node-name": n.name, "ip": n.ip, "zone": n.zone, "region": "bayern", "seeds": seeds,
		"listen": map[string]any{
			"frontend": n.frontend, "readiness": n.readiness, "control": n.control, "directory": n.directory,
		},
		"limits":   map[string]any{"memory-mb": 284},
		"platform": map[string]any{"address": n.access.address},
		"bounds": map[string]any{
			"grace-s": 8, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-budget-slack": 202,
		},
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}|#^/]+)(\|json)?\}\}`)
)

// lookup returns the value of a field, or nil.
func lookup(fields map[string]any, name string) any {
	var at any = fields
	for part := range strings.SplitSeq(name, ".") {
		table, ok := at.(map[string]any)
		if !ok {
			return nil
		}
		at = table[part]
	}
	return at
}

// render fills in the template of the settings. Sections stand around single values only.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		if (lookup(fields, m[2]) != nil) == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value := lookup(fields, m[1])
		if m[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// start starts the node's process.
func (n *node) start() error {
	n.cmd = exec.Command("target/banyanquayd")
	n.cmd.Env = []string{"BANYANQUAY_NODE_FILE=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.done
}

// ready asks the node whether it is ready, as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.readiness + names["ready"])
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// bench is the deployment of one case.
type bench struct {
	rec     *recorder
	dir     string
	store   *store
	runs    *runs
	nodes   []*node
	servers []*server
	// prefix is the loopback network of this run, as 127.x.y.
	prefix string
	port   int
}

// newBench finds free addresses for a deployment whose nodes are in the given zones.
func newBench(rec *recorder, dir string) (*bench, error) {
	b := &bench{rec: rec, dir: dir, store: newStore(), runs: &runs{all: make(map[string][]run)}}
	for try := range 50 {
		b.prefix = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+(os.Getpid()/200+try)%250)
		b.port = 20000 + (os.Getpid()*7+try*131)%9000
		if b.free() {
			return b, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// free reports whether all ports of the deployment are free.
func (b *bench) free() bool {
	for host := range 40 {
		for port := range 6 {
			ln, err := net.Listen("tcp", b.at(host+1, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// at returns an address of the deployment.
func (b *bench) at(host, port int) string { return fmt.Sprintf("%s%d:%d", b.prefix, host, b.port+port) }

// startNodes starts a node in each of the given zones and waits until all are ready.
func (b *bench) startNodes(zones ...string) error {
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range zones {
		host := 11 + i
		n := &node{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: strings.TrimSuffix(fmt.Sprintf("%s%d", b.prefix, host), ":"), zone: zone,
			control: b.at(host, 0), frontend: b.at(host, 1), readiness: b.at(host, 2), directory: b.at(host, 3),
			file: filepath.Join(b.dir, fmt.Sprintf("node-%d.toml", i+1)),
		}
		if n.access, err = newAccess(b.store, b.at(host, 5)); err != nil {
			return err
		}
		if n.log, err = os.Create(filepath.Join(b.dir, fmt.Sprintf("node-%d.log", i+1))); err != nil {
			return err
		}
		b.nodes = append(b.nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, n.control)
		}
	}
	for _, n := range b.nodes {
		text := render(string(template), n.settings(seeds))
		if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		b.rec.printf("node %s: started, zone %s", n.name, n.zone)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range b.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s isn't ready after 20 s", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	b.rec.printf("all nodes are ready")
	return nil
}

// close ends all processes and servers.
func (b *bench) close() {
	for _, n := range b.nodes {
		n.kill()
		n.log.Close()
		_ = n.access.server.Close()
	}
	for _, s := range b.servers {
		_ = s.http.Close()
	}
}
