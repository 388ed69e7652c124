package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"peridotcrank.dev/admin"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// table writes rows of aligned columns.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = quoteUnprintable(fmt.Sprint(cell))
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// line writes a line of text outside of the aligned columns.
func (t *table) line(text string) {
	t.w.Flush()
	fmt.Fprintln(t.w, quoteUnprintable(text))
	t.w.Flush()
}

// quoteUnprintable quotes text that contains unprintable characters. Names and
// reasons come from other users, and a terminal would execute control characters.
func quoteUnprintable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

// print writes the result of a command as indented JSON or as text.
func (a *app) print(value any, show func(*table)) error {
	if a.options.Output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	return a.printText(show)
}

// printItem writes one of several results as one line of JSON or as text.
func (a *app) printItem(value any, show func(*table)) error {
	if a.options.Output == outputJSON {
		return json.NewEncoder(a.out).Encode(value)
	}
	return a.printText(show)
}

func (a *app) printText(show func(*table)) error {
	t := &table{tabwriter.NewWriter(a.out, 0, 0, columnGap, ' ', 0)}
	show(t)
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// errorReport is the JSON output of an error.
type errorReport struct {
	Exit    int          `json:"exit"`
	Message string       `json:"message"`
	Error   *admin.Error `json:"error,omitempty"` // Set for errors of the administration API.
}

// printError writes an error as JSON or as text.
func (a *app) printError(err error) {
	var api *admin.Error
	errors.As(err, &api)
	if a.options.Output == outputJSON {
		_ = json.NewEncoder(a.err).Encode(errorReport{exitCode(err), err.Error(), api})
		return
	}
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintf(a.err, "peridotcrank: %s\n", quoteUnprintable(strings.TrimSuffix(line, "\n")))
	}
	if api != nil && api.Conflict != nil {
		a.printConflict(api.Conflict)
	}
}

func (a *app) printConflict(conflict *admin.Conflict) {
	if conflict.Plan != "" {
		fmt.Fprintf(a.err, "  conflicts with plan %s at step %s\n", quoteUnprintable(string(conflict.Plan)), quoteUnprintable(orDash(conflict.Step)))
	}
	for _, row := range conflict.Changed {
		fmt.Fprintf(a.err, "  changed: %s is now at version %d\n", quoteUnprintable(row.Key), row.Version)
	}
}

func yesOrDash(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

func orDash[T ~string](text T) string {
	if text == "" {
		return "-"
	}
	return string(text)
}
