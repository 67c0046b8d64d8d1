package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is the position of a key in a file.
type position struct {
	file         string
	line, column int
}

// positions returns the position of each dotted key of a syntactically valid
// file.
func positions(file string, data []byte) map[string]position {
	found := map[string]position{}
	var parser unstable.Parser
	parser.Reset(data)
	var table []string
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = keyParts(node.Key())
			record(found, file, &parser, node.Key(), table)
		case unstable.KeyValue:
			recordValue(found, file, &parser, node, table)
		default:
		}
	}
	return found
}

// recordValue records the position of a key and, for an inline table, of the keys
// in it.
func recordValue(found map[string]position, file string, parser *unstable.Parser, node *unstable.Node, table []string) {
	path := append(append([]string{}, table...), keyParts(node.Key())...)
	record(found, file, parser, node.Key(), path)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	inner := value.Children()
	for inner.Next() {
		recordValue(found, file, parser, inner.Node(), path)
	}
}

// record records the position of the last part of a key.
func record(found map[string]position, file string, parser *unstable.Parser, key unstable.Iterator, path []string) {
	var last *unstable.Node
	for key.Next() {
		last = key.Node()
	}
	if last == nil {
		return
	}
	start := parser.Shape(last.Raw).Start
	found[strings.Join(path, ".")] = position{file: file, line: start.Line, column: start.Column}
}

// keyParts returns the parts of a dotted key.
func keyParts(key unstable.Iterator) []string {
	var parts []string
	for key.Next() {
		parts = append(parts, string(key.Node().Data))
	}
	return parts
}
