// ================================================================
// Fills in the platform's settings templates as the users' deployment page describes them: {{a.b}},
// {{a.0}}, {{#a}}..{{/a}} with {{.}}, {{@}} and {{,}}. The templates use no more than that.
// ================================================================

package main

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

var (
	section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	value   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill returns a template with its gaps filled from fields.
func fill(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		return repeat(m[2], lookup(fields, m[1]))
	})
	return value.ReplaceAllStringFunc(template, func(s string) string {
		return text(lookup(fields, value.FindStringSubmatch(s)[1]))
	})
}

// repeat fills the body of a section once for each entry of a list or table.
func repeat(body string, v any) string {
	type entry struct{ key, value string }
	var entries []entry
	switch v := v.(type) {
	case []string:
		for i, s := range v {
			entries = append(entries, entry{strconv.Itoa(i), s})
		}
	case map[string]string:
		for k, s := range v {
			entries = append(entries, entry{k, s})
		}
		sort.Slice(entries, func(i, j int) bool { return entries[i].key < entries[j].key })
	}
	var b strings.Builder
	for i, e := range entries {
		comma := ","
		if i == len(entries)-1 {
			comma = ""
		}
		b.WriteString(strings.NewReplacer("{{.}}", e.value, "{{@}}", e.key, "{{,}}", comma).Replace(body))
	}
	return b.String()
}

// lookup returns the value at a path such as a.b or a.0, or nil.
func lookup(fields map[string]any, path string) any {
	var v any = fields
	for _, name := range strings.Split(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[name]
		case []int:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}

func text(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
