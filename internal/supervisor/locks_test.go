package supervisor

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// lockedParts are the packages of a node with relay.enabled that have locks.
var lockedParts = []string{
	"announcer", "broadcaster", "detourer", "elector", "forwarder", "forwarder/assessor", "forwarder/budgeter", "forwarder/pacer",
	"forwarder/prioritizer", "forwarder/throttler", "linker", "quarantiner", "syncer", "tracker",
}

// allowedUnderLock are the functions of the configuration that a part calls with its lock
// held. None of them takes a lock in a node with relay.enabled, except where a comment says
// so.
var allowedUnderLock = []string{
	// The number and the order of nodes come from an atomic snapshot of the tracker.
	"announcer: current: Known",
	"announcer: read: Known",
	"forwarder/prioritizer: decide: Nodes",
	"forwarder/throttler: Acquire: Homes",
	"forwarder/throttler: Acquire: Nodes",
	"forwarder/throttler: Learn: Homes",
	"syncer: applyAnswer: IsReader",
	// The list is read from the store by one goroutine at a time. No request waits for it.
	"announcer: read: Topics.Newest",
	// The settings come from an atomic copy.
	"forwarder/prioritizer: Began: Settings",
	"forwarder/prioritizer: RejectPath: Settings",
	"forwarder/prioritizer: decide: Settings",
	"forwarder/prioritizer: RejectPath: Rand",
	"forwarder/prioritizer: decide: Rand",
	// The lock is released during the query.
	"forwarder/throttler: Acquire: Query",
	// Decoding needs nothing but the record.
	"syncer: applyAnswer: DecodeConfiguration",
	"syncer: applyConfiguration: DecodeConfiguration",
	"syncer: applyEndpoints: DecodeEntry",
}

// part is the syntax of a package.
type part struct {
	// functions holds the bodies of the functions by name, whatever their receivers are.
	functions map[string][]*ast.BlockStmt
	// reaches holds the functions of the configuration that each function calls, itself or
	// through others of the package.
	reaches map[string]map[string]bool
}

// parsePart parses a package without its tests.
func parsePart(t *testing.T, dir string) part {
	p := part{functions: make(map[string][]*ast.BlockStmt), reaches: make(map[string]map[string]bool)}
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("package %s: got %v, no files", dir, err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Body != nil {
				p.functions[f.Name.Name] = append(p.functions[f.Name.Name], f.Body)
			}
		}
	}
	for changed := true; changed; {
		changed = false
		for name, bodies := range p.functions {
			found := make(map[string]bool)
			for _, body := range bodies {
				maps.Copy(found, p.called(body.List))
			}
			if len(found) > len(p.reaches[name]) {
				p.reaches[name], changed = found, true
			}
		}
	}
	return p
}

// called returns the functions of the configuration, fields of a field cfg, that statements
// call, but for those that run in another goroutine or are only assigned to a field.
func (p part) called(statements []ast.Stmt) map[string]bool {
	found := make(map[string]bool)
	for _, s := range statements {
		ast.Inspect(s, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				return false
			case *ast.KeyValueExpr:
				_, assigned := n.Value.(*ast.FuncLit)
				return !assigned
			}
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if inBackground(call) {
				return false
			}
			path := selectors(call.Fun)
			at := slices.Index(path, "cfg")
			switch {
			case at > 0 && at < len(path)-1:
				if name := strings.Join(path[at+1:], "."); !harmless(path[at+1]) {
					found[name] = true
				}
			// f is the forwarder in its parts. Methods of other fields are not followed, as names
			// of methods are not unique.
			case len(path) == 1, len(path) == 2, len(path) == 3 && path[1] == "f":
				maps.Copy(found, p.reaches[path[len(path)-1]])
			}
			return true
		})
	}
	return found
}

// inBackground reports whether a call starts a function literal in another goroutine.
func inBackground(call *ast.CallExpr) bool {
	path := selectors(call.Fun)
	if len(path) == 0 || !slices.Contains([]string{"start", "AfterFunc", "Go"}, path[len(path)-1]) {
		return false
	}
	return slices.ContainsFunc(call.Args, func(e ast.Expr) bool {
		_, literal := e.(*ast.FuncLit)
		return literal
	})
}

// harmless reports whether a field of the configuration may be used with any lock held. The
// recorder's writer never waits, and the linker calls no topic with its lock held. Metrics
// are read with a map of counters locked, and read prioritizers under their locks, which
// must therefore not be held while counters are changed.
func harmless(field string) bool {
	return slices.Contains([]string{"Now", "Recorder", "Counters", "Latency", "Links"}, field)
}

// selectors returns the names of an expression such as s.f.cfg.Now.
func selectors(e ast.Expr) []string {
	switch e := e.(type) {
	case *ast.Ident:
		return []string{e.Name}
	case *ast.SelectorExpr:
		if path := selectors(e.X); path != nil {
			return append(path, e.Sel.Name)
		}
	}
	return nil
}

// locked returns the statements of a block that run with a lock held.
func locked(statements []ast.Stmt) []ast.Stmt {
	var all []ast.Stmt
	held := false
	for _, s := range statements {
		if e, ok := s.(*ast.ExprStmt); ok {
			if call, ok := e.X.(*ast.CallExpr); ok {
				switch path := selectors(call.Fun); {
				case len(path) > 1 && path[len(path)-1] == "Lock":
					held = true
				case len(path) > 1 && path[len(path)-1] == "Unlock":
					held = false
				}
			}
		}
		if held {
			all = append(all, s)
			continue
		}
		ast.Inspect(s, func(n ast.Node) bool {
			if b, ok := n.(*ast.BlockStmt); ok {
				all = append(all, locked(b.List)...)
				return false
			}
			return true
		})
	}
	return all
}

// A part that calls another one with its lock held, which then calls the first one, blocks
// the node forever: it says that it is ready, accepts connections and answers nothing.
func TestPartsCallNoOthersWithALockHeld(t *testing.T) {
	var got []string
	for _, dir := range lockedParts {
		p := parsePart(t, dir)
		for name, bodies := range p.functions {
			for _, body := range bodies {
				for call := range p.called(locked(body.List)) {
					got = append(got, dir+": "+name+": "+call)
				}
			}
		}
	}
	slices.Sort(got)
	for _, call := range got {
		if !slices.Contains(allowedUnderLock, call) {
			t.Errorf("%s is called with a lock held", call)
		}
	}
	for _, call := range allowedUnderLock {
		if !slices.Contains(got, call) {
			t.Errorf("%s is no longer called with a lock held: remove it from the list", call)
		}
	}
}
