package encoder

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps each field and table of a TOML document to its line, by its dotted
// name. Elements of arrays of tables have an index, as in operators[0].name. Only
// the name of an inline table is mapped, not its fields.
func Lines(data []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := dottedKey(&p, e)
		switch e.Kind {
		case unstable.Table:
			prefix = name + "."
		case unstable.ArrayTable:
			counts[name]++
			name = fmt.Sprintf("%s[%d]", name, counts[name]-1)
			prefix = name + "."
		case unstable.KeyValue:
			name = prefix + name
		default:
			continue
		}
		lines[name] = line
	}
	return lines
}

// dottedKey returns the dotted key of an expression and its line.
func dottedKey(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	if e.Kind != unstable.KeyValue && e.Kind != unstable.Table && e.Kind != unstable.ArrayTable {
		return "", 0
	}
	for keys := e.Key(); keys.Next(); {
		key := keys.Node()
		parts = append(parts, string(key.Data))
		line = p.Shape(key.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
