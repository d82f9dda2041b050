package report

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report holds the results of a run. Broken describes the first broken promise; it is empty if all were kept.
type Report struct {
	Name    string
	Title   string
	Head    []string
	Rows    [][]string
	Figures []Figure
	Plots   []Plot
	Notes   []string
	Broken  string
}

// Figure is a named value.
type Figure struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// maxMarkedPoints is the maximum number of points for which a line is drawn with a mark at each.
const maxMarkedPoints = 30

// Plot is a set of lines over common axes.
type Plot struct {
	Title, X, Y string
	Lines       []Line
}

// Line is a line of a plot, as x and y values.
type Line struct {
	Name   string
	Points [][2]float64
}

// AddFigure appends a figure.
func (r *Report) AddFigure(key, format string, args ...any) {
	r.Figures = append(r.Figures, Figure{key, fmt.Sprintf(format, args...)})
}

// FigureValue returns the value of a figure, or "" if there is none.
func (r *Report) FigureValue(key string) string {
	for _, f := range r.Figures {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// SetBroken records a broken promise. Only the first one is kept.
func (r *Report) SetBroken(format string, args ...any) {
	if r.Broken == "" {
		r.Broken = fmt.Sprintf(format, args...)
	}
}

// Verdict returns the last line of a run's output: "NAME: kept" or "NAME: broken: PROMISE", and the figures.
func (r *Report) Verdict() string {
	parts := []string{r.Name + ": kept"}
	if r.Broken != "" {
		first, _, _ := strings.Cut(r.Broken, "\n")
		parts[0] = r.Name + ": broken: " + first
	}
	for _, f := range r.Figures {
		parts = append(parts, f.Key+"="+f.Value)
	}
	return strings.Join(parts, " ")
}

// Print writes the table, the notes and the verdict.
func (r *Report) Print(w io.Writer) error {
	if len(r.Rows) > 0 {
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		for _, row := range append([][]string{r.Head}, r.Rows...) {
			fmt.Fprintln(t, strings.Join(row, "\t"))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	_, err := fmt.Fprintln(w, r.Verdict())
	return err
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{border:1px solid #ccc;padding:.3em .7em;text-align:left}pre{background:#f4f4f4;padding:1em;overflow:auto}
.broken{color:#b00}.kept{color:#070}</style></head><body>
<h1>{{.Title}}</h1>
{{if .Broken}}<p class="broken">Broken:</p><pre>{{.Broken}}</pre>{{else -}}
<p class="kept">Every promise was kept.</p>{{end}}
{{if .Rows}}<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
<table>{{range .Figures}}<tr><td>{{.Key}}</td><td>{{.Value}}</td></tr>{{end}}</table>
{{range .Notes}}<pre>{{.}}</pre>{{end}}
{{range .Drawn}}<div>{{.}}</div>{{end}}
</body></html>
`))

// resultJSON is the content of result.json, with keys in alphabetical order.
type resultJSON struct {
	Broken  string     `json:"broken"`
	Figures []Figure   `json:"figures"`
	Head    []string   `json:"head"`
	Name    string     `json:"name"`
	Notes   []string   `json:"notes"`
	Rows    [][]string `json:"rows"`
}

// Save writes report.html and result.json to a folder.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var drawn []template.HTML
	for _, p := range r.Plots {
		svg, err := p.draw()
		if err != nil {
			return fmt.Errorf("plot %q: %w", p.Title, err)
		}
		drawn = append(drawn, template.HTML(svg))
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, struct {
		*Report
		Drawn []template.HTML
	}{r, drawn}); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), b.Bytes(), 0o644); err != nil {
		return err
	}
	result := resultJSON{Broken: r.Broken, Figures: r.Figures, Head: r.Head, Name: r.Name, Notes: r.Notes, Rows: r.Rows}
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644)
}

// RunSeeds calls run for count seeds starting at first, on all cores. It passes each result to handle, in the order of
// completion and never concurrently, until handle returns true or ctx ends.
func RunSeeds[R any](ctx context.Context, first int64, count int, run func(seed int64) R,
	handle func(seed int64, r R) (enough bool)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next, done := 0, false
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			mu.Lock()
			defer mu.Unlock()
			for next < count && !done && ctx.Err() == nil {
				seed := first + int64(next)
				next++
				mu.Unlock()
				r := run(seed)
				mu.Lock()
				done = handle(seed, r) || done
			}
		})
	}
	wg.Wait()
}

// Finish prints the report, and saves it to dir unless dir is empty.
func (r *Report) Finish(dir string, w io.Writer) (*Report, error) {
	if dir != "" {
		if err := r.Save(dir); err != nil {
			return nil, err
		}
	}
	return r, r.Print(w)
}

// draw returns the plot as an SVG element without the XML prolog, for embedding in HTML.
func (p *Plot) draw() (string, error) {
	g := plot.New()
	g.Title.Text, g.X.Label.Text, g.Y.Label.Text = p.Title, p.X, p.Y
	g.Legend.Top = true
	g.Add(plotter.NewGrid())
	for i, l := range p.Lines {
		xys := make(plotter.XYs, len(l.Points))
		for k, xy := range l.Points {
			xys[k].X, xys[k].Y = xy[0], xy[1]
		}
		line, points, err := plotter.NewLinePoints(xys)
		if err != nil {
			return "", err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		marks := []plot.Thumbnailer{line}
		g.Add(line)
		if len(xys) <= maxMarkedPoints {
			g.Add(points)
			marks = append(marks, points)
		}
		if l.Name != "" {
			g.Legend.Add(l.Name, marks...)
		}
	}
	w, err := g.WriterTo(16*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err = w.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:]
	}
	return svg, nil
}

// FormatMilliseconds formats a duration for a table.
func FormatMilliseconds(n int64) string { return strconv.FormatInt(n, 10) + " ms" }
