package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = vg.Length(14)
	// maxPlotBars bounds the bars in one plot; the highest burn rates are shown.
	maxPlotBars = 20
)

// page is the template of a report as a self-contained HTML page.
var page = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px/1.5 system-ui,sans-serif;margin:2rem;max-width:70rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}.over{background:#fde2e0}.alert{background:#b3261e;color:#fff;padding:.5rem 1rem}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>Service-level burn</h1>
<p>Made at {{.At}}. At a burn rate of 1 the budget of misses is spent exactly; above it, the objective is not kept.</p>
{{range .Alerts}}<p class="alert">{{.}}</p>{{else}}<p>No alert rule is broken.</p>{{end}}
{{if .Unreached}}<p>Not reached, so not counted: {{range .Unreached}}{{.}} {{end}}</p>{{end}}
{{range .Windows}}<h2>Last {{.Title}}</h2>
{{.Plot}}
<table><tr><th>Account</th><th>Kind</th><th>Requests</th><th>Missed</th><th>Burn rate</th>{{range $.Causes}}<th>{{.}}</th>{{end}}<th>Tokens</th><th>Counted</th></tr>
{{range .Rows}}<tr{{if .Over}} class="over"{{end}}><td>{{.Account}}</td><td>{{.Kind}}</td><td class="n">{{.Total}}</td><td class="n">{{.Missed}}</td><td class="n">{{.Rate}}</td>{{range .Causes}}<td class="n">{{.}}</td>{{end}}<td class="n">{{.Tokens}}</td><td>{{.Covered}}</td></tr>
{{end}}</table>{{else}}<p>No request has been counted.</p>{{end}}
</body></html>
`))

type pageData struct {
	At        string
	Alerts    []string
	Unreached []string
	Causes    []Cause
	Windows   []pageWindow
}

type pageWindow struct {
	Title string
	Plot  template.HTML
	Rows  []pageRow
}

type pageRow struct {
	Account string
	Kind    string
	Total   int64
	Missed  int64
	Rate    string
	Causes  []int64
	Tokens  int64
	Covered string
	Over    bool
}

// WriteHTML writes the report as a self-contained HTML page. The time at is shown
// as the time of the report.
func (report *Report) WriteHTML(writer io.Writer, at time.Time) error {
	data := pageData{At: at.UTC().Format(time.RFC3339), Unreached: report.unreached, Causes: Causes()}
	for _, alert := range report.Alerts() {
		data.Alerts = append(data.Alerts, formatAlert(alert))
	}
	for _, window := range Windows() {
		rows := report.Window(window)
		if len(rows) == 0 {
			continue
		}
		drawn, err := drawBars(rows)
		if err != nil {
			return err
		}
		data.Windows = append(data.Windows, pageWindow{Title: formatDuration(window), Plot: drawn, Rows: newPageRows(rows)})
	}
	return page.Execute(writer, data)
}

func newPageRows(rows []Row) []pageRow {
	shown := make([]pageRow, 0, len(rows))
	for _, row := range rows {
		counts := row.Counts()
		line := pageRow{
			Account: string(row.Account()), Kind: row.Kind().String(), Total: counts.Total(), Missed: counts.TotalMissed(),
			Rate: fmt.Sprintf("%.2f", row.BurnRate()), Tokens: int64(counts.Tokens()), Covered: formatDuration(row.Covered()),
			Over: row.BurnRate() > 1,
		}
		for _, cause := range Causes() {
			line.Causes = append(line.Causes, counts.Missed(cause))
		}
		shown = append(shown, line)
	}
	return shown
}

// drawBars plots the burn rates as bars, with a line at a burn rate of 1, which
// spends the budget exactly.
func drawBars(rows []Row) (template.HTML, error) {
	rows = rows[:min(len(rows), maxPlotBars)]
	drawing := plot.New()
	drawing.Y.Label.Text = "burn rate"
	values := make(plotter.Values, 0, len(rows))
	labels := make([]string, 0, len(rows))
	for _, row := range rows {
		values = append(values, row.BurnRate())
		labels = append(labels, fmt.Sprintf("%s\n%s", row.Account(), row.Kind()))
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return "", err
	}
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	drawing.Add(bars, limit)
	drawing.NominalX(labels...)
	drawing.Y.Min = 0
	drawing.Y.Max = max(drawing.Y.Max, 1.2)
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawing.Draw(draw.New(canvas))
	var encoded bytes.Buffer
	if _, err := canvas.WriteTo(&encoded); err != nil {
		return "", err
	}
	// Drop the XML prologue and comment, which are for stand-alone images.
	_, image, _ := bytes.Cut(encoded.Bytes(), []byte("-->"))
	return template.HTML(image), nil //nolint:gosec // The plot library escapes the labels.
}
