package kcwsettings

import "strings"

// lineTable holds the line numbers of sections and keys.
type lineTable struct {
	sections map[string][]sectionLines
}

// sectionLines holds the lines of one section's header and of its keys, which may be
// duplicated.
type sectionLines struct {
	line int
	keys map[string][]int
}

func scanLines(data []byte) *lineTable {
	table := &lineTable{sections: map[string][]sectionLines{}}
	header := "DEFAULT"
	table.sections[header] = []sectionLines{{line: 1, keys: map[string][]int{}}}
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			if end := strings.LastIndexByte(line, ']'); end > 0 {
				header = strings.TrimSpace(line[1:end])
				table.sections[header] = append(table.sections[header], sectionLines{line: i + 1, keys: map[string][]int{}})
			}
			continue
		}
		if key, _, found := strings.Cut(line, "="); found && line[0] != '#' && line[0] != ';' {
			key = strings.TrimSpace(key)
			occurrences := table.sections[header]
			keys := occurrences[len(occurrences)-1].keys
			keys[key] = append(keys[key], i+1)
		}
	}
	return table
}

// section returns the line of the nth section with the header, or zero.
func (t *lineTable) section(header string, nth int) int {
	if occurrences := t.sections[header]; nth < len(occurrences) {
		return occurrences[nth].line
	}
	return 0
}

// key returns the line of the key's given occurrence, from zero, in the nth section
// with the header, or zero.
func (t *lineTable) key(header string, nth int, key string, occurrence int) int {
	occurrences := t.sections[header]
	if nth >= len(occurrences) {
		return 0
	}
	lines := occurrences[nth].keys[key]
	if occurrence >= len(lines) {
		return 0
	}
	return lines[occurrence]
}
